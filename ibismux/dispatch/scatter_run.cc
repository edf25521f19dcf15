#include "ibismux/dispatch/scatter_run.h"

#include <algorithm>
#include <cmath>

#include "ibismux/dispatch/dispatch_policy.h"
#include "ibismux/dispatch/record_merger.h"
#include "ibismux/dispatch/service_group.h"
#include "ibismux/routing/route.h"

namespace ibismux::dispatch {

namespace {

using State = PartCall::State;

// Of a whole shard; keeps 0.9 of ten shards from being ten by rounding up.
constexpr double kRounding = 1e-6;

}  // namespace

std::size_t ScatterRun::needed() const {
  const double shards = static_cast<double>(this->parts().size());
  const double least = this->context().route->minimum_coverage * shards;
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::ceil(least - kRounding)));
}

Duration ScatterRun::excess_wait(TimePoint now) const {
  std::vector<Duration> excess;
  excess.reserve(this->parts().size());
  for (const auto& part : this->parts()) {
    excess.push_back(this->excess_wait_at(part->service(), now));
  }
  // The answer is there when the last shard is that it can't do without.
  const auto last =
      excess.begin() + static_cast<std::ptrdiff_t>(this->needed()) - 1;
  std::nth_element(excess.begin(), last, excess.end());
  return *last;
}

void ScatterRun::settle(TimePoint now) {
  const std::size_t answered = this->tally().answered;
  const std::size_t open =
      this->parts().size() - answered - this->tally().failed;
  const std::size_t needed = this->needed();
  const bool enough = answered >= needed;
  const bool may_leave_out =
      this->context().policy->partial_answers && now >= this->answer_by();
  if (enough && (open == 0 || may_leave_out || this->past_final(now))) {
    this->answer(answered);
  } else if (this->past_final(now)) {
    this->fail_run(ErrorKind::kDeadlineExceeded, "too few shards in time");
  } else if (answered + open < needed) {
    this->fail_run(ErrorKind::kLeafUnavailable,
                   "too few shards can be reached");
  } else if (now < this->answer_by()) {
    this->wake_at(this->answer_by());
  }
}

void ScatterRun::answer(std::size_t answered) {
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
