#include "ibismux/dispatch/scatter_run.h"

#include <algorithm>
#include <cmath>

#include "ibismux/coverage/coverage_budget.h"
#include "ibismux/dispatch/canary_timing.h"
#include "ibismux/dispatch/dispatch_policy.h"
#include "ibismux/dispatch/record_merger.h"
#include "ibismux/dispatch/service_group.h"
#include "ibismux/routing/route.h"

namespace ibismux::dispatch {

namespace {

using State = PartCall::State;

// Tolerance, in shards, for floating-point errors: without it, 0.9 of ten
// shards would be rounded up to ten.
constexpr double kRoundingTolerance = 1e-6;

}  // namespace

std::size_t ScatterRun::required_shards() const {
  const double shards = static_cast<double>(this->parts().size());
  const double min_shards = this->context().route->minimum_coverage * shards;
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::ceil(min_shards - kRoundingTolerance)));
}

Duration ScatterRun::excess_wait(TimePoint now) const {
  std::vector<Duration> excess;
  excess.reserve(this->parts().size());
  for (const auto& part : this->parts()) {
    excess.push_back(this->excess_wait_at(part->service(), now));
  }
  // The answer is available once the last one of the required shards has
  // answered.
  const auto last =
      excess.begin() + static_cast<std::ptrdiff_t>(this->required_shards()) - 1;
  std::nth_element(excess.begin(), last, excess.end());
  return *last;
}

coverage::PartUrgency ScatterRun::urgency(std::size_t lost) const {
  if (!this->context().policy->coverage_urgency) {
    return {};
  }
  return coverage::CoverageBudget(this->parts().size(), this->required_shards())
      .urgency(lost);
}

bool ScatterRun::starts_with_canary(TimePoint now) const {
  const RequestContext& context = this->context();
  return context.policy->canary && this->parts().size() > 1 &&
         !context.crashes->was_answered_lately() &&
         leaves_time_for_canary(context.typical->value(),
                                context.typical_run->value(),
                                this->answer_by() - now);
}

void ScatterRun::check_completion(TimePoint now) {
  const std::size_t answered = this->part_counts().answered;
  const std::size_t open =
      this->parts().size() - answered - this->part_counts().failed;
  const std::size_t required_shards = this->required_shards();
  const bool enough = answered >= required_shards;
  const bool may_omit_open =
      this->context().policy->partial_answers && now >= this->answer_by();
  if (enough && (open == 0 || may_omit_open || this->is_past_deadline(now))) {
    this->finish_merged(answered);
  } else if (this->is_past_deadline(now)) {
    this->fail_past_deadline("too few shards");
  } else if (answered + open < required_shards) {
    this->fail_run(ErrorKind::kLeafUnavailable,
                   "too few shards can be reached");
  } else if (now < this->answer_by()) {
    this->wake_at(this->answer_by());
  }
}

void ScatterRun::finish_merged(std::size_t answered) {
  MergedAnswer merged;
  merged.missing_shards = this->parts().size() - answered;
  RecordMerger merger(this->context().route->top_records);
  for (const auto& part : this->parts()) {
    if (part->state() == State::kAnswered) {
      merged.receipts.push_back(part->answer().receipt);
      merger.add(part->answer().body);
    }
  }
  merged.records = merger.take();
  const bool partial = merged.missing_shards > 0;
  this->finish(Answer(std::move(merged)), partial);
}

}  // namespace ibismux::dispatch
