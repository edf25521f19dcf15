#include "ibismux/dispatch/request_run.h"

#include <algorithm>
#include <utility>

#include "ibismux/dispatch/answer_timing.h"
#include "ibismux/dispatch/dispatch_metrics.h"
#include "ibismux/dispatch/dispatch_policy.h"
#include "ibismux/dispatch/hedge_timing.h"
#include "ibismux/dispatch/request_end.h"
#include "ibismux/dispatch/retry_after.h"
#include "ibismux/dispatch/service_group.h"
#include "ibismux/eventlog/event_log.h"
#include "ibismux/routing/route.h"

namespace ibismux::dispatch {

namespace {

using std::chrono::milliseconds;

// Calls that lost against a repeat may go on this long: the longest pause of a
// leaf so far, which then answers everything, and a little more.
constexpr milliseconds kLoserGrace{300};
// Work for a caller that has left is stopped well within half a second.
constexpr milliseconds kCallerGoneGrace{250};

// A timer that fires later than this says that the loop had other work.
constexpr milliseconds kOnTime{1};
// Parts whose hedges are due within this of each other are looked at in one
// turn, so that a wide query doesn't wake the daemon for each of them.
constexpr milliseconds kTogether{2};

// A queue that has not been empty for so long stands for more requests than
// leafs can work on. The callers of a few seconds that come back together after
// an outage make one, too, which is gone in less: they are served late, which
// is better than not at all.
constexpr milliseconds kStandingQueue{1000};

Duration hedge_after(const RequestContext& context) {
  return hedge_delay(context.typical->value(),
                     context.due - context.request.received);
}

}  // namespace

RequestRun::RequestRun(boost::asio::io_context& loop,
                       std::shared_ptr<const RequestContext> context,
                       std::vector<std::shared_ptr<ServiceGroup>> groups,
                       Done done)
    : shared(std::move(context)),
      groups(std::move(groups)),
      done(std::move(done)),
      timer(loop.get_executor()),
      wake(this->shared->final_at) {}

void RequestRun::start() {
  // The caller may have left before its request was begun: its connection's end
  // can be read in the same turn of the loop as the request.
  if (this->ended) {
    return;
  }
  this->all.reserve(this->groups.size());
  for (const auto& group : this->groups) {
    const std::size_t index = this->all.size();
    this->all.push_back(std::make_shared<PartCall>(
        this->shared, group, [weak = this->weak_from_this(), index] {
          if (const auto self = weak.lock()) {
            self->on_change(*self->all[index]);
          }
        }));
  }
  if (this->refused(Clock::now())) {
    return;
  }
  this->shared->crashes->on_release([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->release_parts();
    }
  });
  // A call may end before `start()` returns: one that can't be sent does. Parts
  // that have not begun yet would then pass for ones that never will.
  this->starting = true;
  for (const auto& part : this->all) {
    part->start();
    this->count(*part);
  }
  this->starting = false;
  const TimePoint now = Clock::now();
  this->sent_after = now - this->shared->request.received;
  this->release_parts();
  if (!this->ended) {
    this->settle(now);
  }
  if (!this->ended) {
    this->hedge_late_parts(now);
    this->arm();
  }
}

bool RequestRun::refused(TimePoint now) {
  const Duration excess = this->excess_wait(now);
  if (excess <= Duration::zero()) {
    return false;
  }
  if (excess == Duration::max()) {
    this->fail_run(ErrorKind::kLeafUnavailable, "too few leafs can be reached");
    return true;
  }
  if (!this->shared->policy->refuse_early) {
    return false;
  }
  // More requests than leafs can work on: taken in, each would wait behind
  // those that are late already, and all would be late. One that can't be in
  // time is better told so before any leaf works on it.
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
  const ZoneNames* zones = this->shared->zones();
  if (!service.can_serve(zones)) {
    return Duration::max();
  }
  const bool stands = service.queue().nonempty_for(now) > kStandingQueue;
  const TimePoint latest = stands ? this->shared->due : this->shared->final_at;
  const Duration work = this->shared->typical->unloaded();
  return service.expected_wait(this->shared->route->priority, zones) -
         std::max<Duration>(work, latest - now - work);
}

void RequestRun::count(const PartCall& part) noexcept {
  this->ended_parts.answered +=
      part.state() == PartCall::State::kAnswered ? 1 : 0;
  this->ended_parts.failed += part.state() == PartCall::State::kFailed ? 1 : 0;
}

void RequestRun::on_change(const PartCall& part) {
  this->count(part);
  if (!this->ended && !this->starting) {
    this->settle(Clock::now());
  }
}

void RequestRun::release_parts() {
  if (this->ended || this->starting) {
    return;
  }
  if (this->shared->crashes->is_hopeless()) {
    this->fail_run(ErrorKind::kQuarantined, "each leaf that ran it has ended");
    return;
  }
  for (const auto& part : this->all) {
    part->resume();
    if (this->ended) {
      return;
    }
  }
}

TimePoint RequestRun::answer_by() const noexcept {
  return this->shared->due - time_to_answer(this->sent_after);
}

void RequestRun::wake_at(TimePoint when) {
  this->wake = std::min(this->wake, when);
}

void RequestRun::arm() {
  this->timer.expires_at(this->wake);
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
    // A wait that ended just before the run did was for something else.
    if (now < this->wake) {
      this->arm();
      return;
    }
    for (const auto& part : this->all) {
      part->give_up();
    }
    return;
  }
  if (this->is_behind(now)) {
    return;
  }
  this->wake = this->shared->final_at;
  this->hedge_late_parts(now);
  if (!this->ended) {
    this->settle(now);
  }
  if (!this->ended) {
    this->arm();
  }
}

bool RequestRun::is_behind(TimePoint now) {
  const bool late = now > this->wake + kOnTime && !this->caught_up;
  this->caught_up = late;
  if (late) {
    // A wait that is over at once ends behind all that can be read by then.
    this->wake = now;
    this->arm();
  }
  return late;
}

void RequestRun::hedge_late_parts(TimePoint now) {
  const Duration patience = hedge_after(*this->shared);
  for (const auto& part : this->all) {
    const auto since = part->waits_since();
    if (!since) {
      continue;
    }
    if (now + kTogether < *since + patience) {
      this->wake_at(*since + patience);
      continue;
    }
    const std::shared_ptr<Leaf> leaf = part->tried().back();
    part->hedge();
    if (this->shared->policy->share_unresponsive &&
        leaf->estimate().is_unresponsive(patience, now)) {
      leaf->report_unresponsive(now);
    }
  }
}

void RequestRun::cancel() {
  if (this->ended) {
    return;
  }
  this->gone = true;
  this->finish(fail(ErrorKind::kCancelled, "the caller is gone"));
}

void RequestRun::finish(Outcome outcome, bool partial) {
  this->ended = true;
  if (!outcome && this->shared->attempts_elsewhere > 0) {
    // Of what a peer's calls became nothing is known here.
    outcome.error().execution = Execution::kUnknown;
  }
  this->log_end(outcome, partial);
  this->leave_parts();
  const Done report = std::exchange(this->done, nullptr);
  report(std::move(outcome));
}

void RequestRun::leave_parts() {
  bool calls_left = false;
  for (const auto& part : this->all) {
    part->abandon();
    calls_left = calls_left || part->has_calls();
  }
  // At-most-once work goes on to its end: to break it off would leave nobody
  // knowing what was done.
  const bool stop = this->shared->route->is_idempotent();
  if (!calls_left || !stop) {
    this->timer.cancel();
    return;
  }
  this->wake = Clock::now() + (this->gone ? kCallerGoneGrace : kLoserGrace);
  this->arm();
}

void RequestRun::fail_run(ErrorKind kind, std::string message) {
  const bool not_run =
      std::all_of(this->all.begin(), this->all.end(), [](const auto& part) {
        return part->certainly_not_run() && !part->has_calls();
      });
  Error error = make_error(kind, std::move(message));
  error.execution = not_run ? Execution::kNotRun : Execution::kUnknown;
  if (not_run) {
    error.retry_after = kind == ErrorKind::kQuarantined
                            ? this->shared->crashes->held_for()
                            : this->leafs_pause();
  }
  this->finish(tl::unexpected(std::move(error)));
}

milliseconds RequestRun::leafs_pause() const {
  const TimePoint now = Clock::now();
  milliseconds pause{0};
  for (const auto& part : this->all) {
    if (part->state() != PartCall::State::kAnswered) {
      pause = std::max(pause,
                       part->service().retry_after(now, this->shared->zones()));
    }
  }
  return pause;
}

void RequestRun::log_end(const Outcome& outcome, bool partial) {
  note_request_end(
      *this->shared, outcome, partial, Clock::now(),
      [this](eventlog::Event& line) { this->describe_parts(line); });
}

void RequestRun::describe_parts(eventlog::Event& line) const {
  std::size_t sends = 0;
  std::string missing;
  for (const auto& part : this->all) {
    sends += part->times_sent();
    if (part->state() != PartCall::State::kAnswered) {
      missing += (missing.empty() ? "" : " ") + part->service().name();
    }
  }
  line.with("for_peer", this->shared->is_for_peer())
      .with("sent_after_ms", this->sent_after)
      .with("parts", this->all.size())
      .with("answered", this->ended_parts.answered)
      .with("sends", sends);
  if (!missing.empty()) {
    line.with("without", missing);
  }
}

}  // namespace ibismux::dispatch
