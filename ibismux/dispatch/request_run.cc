#include "ibismux/dispatch/request_run.h"

#include <algorithm>
#include <utility>

#include "ibismux/base/text_hash.h"
#include "ibismux/dispatch/answer_timing.h"
#include "ibismux/dispatch/dispatch_policy.h"
#include "ibismux/dispatch/hedge_timing.h"
#include "ibismux/dispatch/retry_after.h"
#include "ibismux/dispatch/service_group.h"
#include "ibismux/routing/route.h"

namespace ibismux::dispatch {

namespace {

using std::chrono::milliseconds;

// A timer that fires later than this indicates that the event loop was busy.
constexpr milliseconds kMaxTimerDelay{1};
// Hedges that are due within this interval are sent together, so that a query
// over many shards does not wake the daemon once for each of them.
constexpr milliseconds kHedgeBatchWindow{2};

// A queue that has not been empty for this long is a standing queue: more
// requests arrive than the leafs can handle. After an outage, the callers of a
// few seconds return at once and form a queue too, but it drains in less time.
// They are served late rather than refused.
constexpr milliseconds kStandingQueueAge{1000};

// Leafs that a request is sent to, the second one after the usual hedge delay,
// before any of them has answered: one of them may be paused.
constexpr std::size_t kMaxCanaries = 2;

Duration hedge_delay_of(const RequestContext& context, double urgency = 1) {
  return hedge_delay(context.typical->value(),
                     context.due - context.request.received, urgency);
}

}  // namespace

RequestRun::RequestRun(boost::asio::io_context& loop,
                       std::shared_ptr<const RequestContext> context,
                       std::vector<std::shared_ptr<ServiceGroup>> groups,
                       Done done)
    : shared_context(std::move(context)),
      groups(std::move(groups)),
      done(std::move(done)),
      timer(loop.get_executor()),
      wake_time(this->shared_context->final_deadline) {}

void RequestRun::start() {
  // The caller may have disconnected before the run was started: the event loop
  // can read the end of the connection in the same iteration as the request.
  if (this->ended) {
    return;
  }
  this->part_calls.reserve(this->groups.size());
  for (const auto& group : this->groups) {
    const std::size_t index = this->part_calls.size();
    this->part_calls.push_back(std::make_shared<PartCall>(
        this->shared_context, group, [weak = this->weak_from_this(), index] {
          if (const auto self = weak.lock()) {
            self->on_change(*self->part_calls[index]);
          }
        }));
  }
  if (this->refuse_if_unservable(Clock::now())) {
    return;
  }
  const ZoneNames* zones = this->shared_context->zones();
  this->lost_at_start = static_cast<std::size_t>(std::count_if(
      this->groups.begin(), this->groups.end(),
      [zones](const auto& group) { return !group->can_serve(zones); }));
  this->update_urgency();
  this->shared_context->crashes->on_release([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->resume_parts();
    }
  });
  this->parts_started = Clock::now();
  if (this->starts_with_canary(this->parts_started)) {
    this->waits_for_canary = true;
    this->shared_context->crashes->limit_first_calls(1);
    this->canary_due =
        this->parts_started + hedge_delay_of(*this->shared_context);
  }
  // A call that cannot be sent ends before `start()` returns. Completion must
  // not be checked until all parts are started: the others would be taken for
  // parts that will never send anything.
  this->starting = true;
  // The first one that can be sent is the canary, so that each request starts
  // with another shard.
  const std::size_t first =
      text_hash(this->shared_context->request.id) % this->part_calls.size();
  for (std::size_t i = 0; i < this->part_calls.size(); ++i) {
    const auto& part = this->part_calls[(first + i) % this->part_calls.size()];
    part->start();
    this->count_if_ended(*part);
  }
  this->starting = false;
  const TimePoint now = Clock::now();
  this->sent_after = now - this->shared_context->request.received;
  this->resume_parts();
  if (!this->ended) {
    this->check_completion(now);
  }
  if (!this->ended) {
    this->hedge_late_parts(now);
    this->arm();
  }
}

bool RequestRun::refuse_if_unservable(TimePoint now) {
  const Duration excess = this->excess_wait(now);
  if (excess <= Duration::zero()) {
    return false;
  }
  if (excess == Duration::max()) {
    this->fail_run(ErrorKind::kLeafUnavailable, "too few leafs can be reached");
    return true;
  }
  if (!this->shared_context->policy->refuse_early) {
    return false;
  }
  // Under overload, accepting every request would make all of them late, since
  // each would wait behind requests that are late already. A request that
  // cannot be in time is refused before any leaf works on it.
  const auto late = std::chrono::ceil<milliseconds>(excess);
  Error error =
      make_error(ErrorKind::kOverloaded,
                 "queues before leafs are " + std::to_string(late.count()) +
                     " ms longer than the answer can wait");
  error.execution = Execution::kNotRun;
  error.retry_after = retry_after(excess);
  this->finish(tl::unexpected(std::move(error)));
  return true;
}

Duration RequestRun::excess_wait_at(const ServiceGroup& service,
                                    TimePoint now) const {
  const ZoneNames* zones = this->shared_context->zones();
  if (!service.can_serve(zones)) {
    return Duration::max();
  }
  const bool is_standing =
      service.queue().nonempty_for(now) > kStandingQueueAge;
  const TimePoint latest = is_standing ? this->shared_context->due
                                       : this->shared_context->final_deadline;
  const Duration work = this->shared_context->typical->unloaded();
  return service.expected_wait(this->shared_context->priority,
                               this->shared_context->share, zones) -
         std::max<Duration>(work, latest - now - work);
}

void RequestRun::count_if_ended(const PartCall& part) noexcept {
  this->ended_counts.answered +=
      part.state() == PartCall::State::kAnswered ? 1 : 0;
  this->ended_counts.failed += part.state() == PartCall::State::kFailed ? 1 : 0;
}

void RequestRun::on_change(const PartCall& part) {
  this->count_if_ended(part);
  if (this->ended || this->starting) {
    return;
  }
  const TimePoint now = Clock::now();
  this->check_completion(now);
  if (!this->ended && this->update_urgency()) {
    this->wake_at(now);
    this->arm();
  }
}

bool RequestRun::update_urgency() {
  const coverage::PartUrgency fresh =
      this->urgency(std::max(this->lost_at_start, this->ended_counts.failed));
  if (fresh == this->part_urgency) {
    return false;
  }
  this->part_urgency = fresh;
  for (const auto& part : this->part_calls) {
    part->set_urgency(fresh);
  }
  return true;
}

void RequestRun::resume_parts() {
  if (this->ended || this->starting) {
    return;
  }
  if (this->shared_context->crashes->is_quarantined()) {
    this->fail_run(ErrorKind::kQuarantined, "each leaf that ran it has ended");
    return;
  }
  const TimePoint now = Clock::now();
  for (const auto& part : this->part_calls) {
    part->resume();
    if (this->ended) {
      return;
    }
  }
  if (this->waits_for_canary &&
      !this->shared_context->crashes->first_call_limit()) {
    this->on_canary_answered(now);
  }
}

void RequestRun::on_canary_answered(TimePoint now) {
  this->waits_for_canary = false;
  this->parts_started = now;
  // Sending the calls takes as long as it would have taken on arrival.
  this->sent_after = Clock::now() - now;
  this->hedge_late_parts(now);
  if (!this->ended) {
    this->arm();
  }
}

bool RequestRun::wait_for_canary(TimePoint now) {
  const auto limit = this->shared_context->crashes->first_call_limit();
  if (!this->waits_for_canary || !limit) {
    return false;
  }
  if (now + kHedgeBatchWindow < this->canary_due) {
    this->wake_at(this->canary_due);
    return true;
  }
  if (*limit < kMaxCanaries) {
    this->shared_context->crashes->limit_first_calls(*limit + 1);
    // A leaf may run a request for several times the usual before it ends. If
    // no canary answers, the answer is late in any case, and the calls wait as
    // long as it can still be in time for the deadline.
    const Duration needed = this->shared_context->typical_run->value() * 2;
    this->canary_due =
        std::max(now, this->shared_context->final_deadline - needed);
    this->wake_at(this->canary_due);
  } else {
    this->shared_context->crashes->end_first_calls();
  }
  this->resume_parts();
  return this->waits_for_canary;
}

TimePoint RequestRun::answer_by() const noexcept {
  return this->shared_context->due - answer_assembly_time(this->sent_after);
}

void RequestRun::wake_at(TimePoint when) {
  this->wake_time = std::min(this->wake_time, when);
}

void RequestRun::arm() {
  this->timer.expires_at(this->wake_time);
  this->timer.async_wait([self = this->shared_from_this()](
                             const boost::system::error_code& error) {
    if (!error) {
      self->on_timer();
    }
  });
}

void RequestRun::on_timer() {
  const TimePoint now = Clock::now();
  if (this->ended) {
    // The wait completed just before the run ended, so it is not the one that
    // `stop_parts()` armed.
    if (now < this->wake_time) {
      this->arm();
      return;
    }
    for (const auto& part : this->part_calls) {
      part->cancel_calls();
    }
    return;
  }
  if (this->rearm_if_late(now)) {
    return;
  }
  this->wake_time = this->shared_context->final_deadline;
  this->hedge_late_parts(now);
  if (!this->ended) {
    this->check_completion(now);
  }
  if (!this->ended) {
    this->arm();
  }
}

bool RequestRun::rearm_if_late(TimePoint now) {
  const bool late = now > this->wake_time + kMaxTimerDelay && !this->caught_up;
  this->caught_up = late;
  if (late) {
    // The handler of a timer that has already expired runs after the handlers
    // of all data that can be read by now.
    this->wake_time = now;
    this->arm();
  }
  return late;
}

void RequestRun::hedge_late_parts(TimePoint now) {
  if (this->wait_for_canary(now) || this->ended) {
    return;
  }
  const Duration delay = hedge_delay_of(*this->shared_context,
                                        this->part_urgency.hedge_delay_factor);
  const Duration unresponsive_after = hedge_delay_of(*this->shared_context);
  for (const auto& part : this->part_calls) {
    const auto since = part->waiting_since();
    if (!since) {
      continue;
    }
    if (now + kHedgeBatchWindow < *since + delay) {
      this->wake_at(*since + delay);
      continue;
    }
    const std::shared_ptr<Leaf> leaf = part->tried().back();
    part->hedge();
    if (const auto next = part->waiting_since()) {
      this->wake_at(*next + delay);
    }
    if (this->shared_context->policy->share_unresponsive &&
        leaf->estimate().is_unresponsive(unresponsive_after, now)) {
      leaf->report_unresponsive(now);
    }
  }
}

}  // namespace ibismux::dispatch
