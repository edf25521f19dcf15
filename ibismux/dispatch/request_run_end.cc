// How a run ends: its outcome, the calls that are left, and the log event.

#include <algorithm>
#include <utility>

#include "ibismux/dispatch/request_end.h"
#include "ibismux/dispatch/request_run.h"
#include "ibismux/dispatch/service_group.h"
#include "ibismux/eventlog/event_log.h"
#include "ibismux/routing/route.h"

namespace ibismux::dispatch {

namespace {

using std::chrono::milliseconds;

// How long calls that lost against a hedge or retry may continue: slightly
// longer than the longest known pause of a leaf, after which the leaf answers
// all of its calls.
constexpr milliseconds kLosingCallGrace{300};
// Work for a caller that has disconnected is stopped well within half a second.
constexpr milliseconds kCallerGoneGrace{250};

}  // namespace

void RequestRun::cancel(http::CancelReason reason) {
  if (this->ended) {
    return;
  }
  if (reason == http::CancelReason::kStopping) {
    this->stopping = true;
    if (this->part_calls.empty()) {
      this->fail_past_deadline("not started");
    } else {
      this->check_completion(Clock::now());
    }
    return;
  }
  this->caller_gone = true;
  this->finish(fail(ErrorKind::kCancelled, "the caller is gone"));
}

void RequestRun::finish(Outcome outcome, bool partial) {
  this->ended = true;
  if (!outcome && this->shared_context->peer_attempts > 0) {
    // Whether leafs have run the calls of the peer is unknown here.
    outcome.error().execution = Execution::kUnknown;
  }
  if (outcome && !partial) {
    const TimePoint now = Clock::now();
    this->shared_context->typical_run->record(now - this->parts_started, now);
  }
  this->log_end(outcome, partial);
  this->stop_parts();
  const Done report = std::exchange(this->done, nullptr);
  report(std::move(outcome));
}

void RequestRun::stop_parts() {
  bool calls_left = false;
  for (const auto& part : this->part_calls) {
    part->stop_sending();
    calls_left = calls_left || part->has_calls();
  }
  // At-most-once calls are not cancelled: it would then be unknown whether the
  // leaf has done the work.
  const bool stop = this->shared_context->route->is_idempotent();
  if (!calls_left || !stop) {
    this->timer.cancel();
    return;
  }
  this->wake_time =
      Clock::now() + (this->caller_gone ? kCallerGoneGrace : kLosingCallGrace);
  this->arm();
}

void RequestRun::fail_run(ErrorKind kind, std::string message) {
  const bool not_run = std::all_of(
      this->part_calls.begin(), this->part_calls.end(), [](const auto& part) {
        return part->certainly_not_run() && !part->has_calls();
      });
  Error error = make_error(kind, std::move(message));
  error.execution = not_run ? Execution::kNotRun : Execution::kUnknown;
  if (not_run) {
    error.retry_after =
        kind == ErrorKind::kQuarantined
            ? this->shared_context->crashes->remaining_quarantine()
            : this->retry_after_unanswered();
  }
  this->finish(tl::unexpected(std::move(error)));
}

void RequestRun::fail_past_deadline(std::string_view message) {
  this->fail_run(
      ErrorKind::kDeadlineExceeded,
      std::string(message) +
          (this->stopping ? " before this daemon stops" : " in time"));
}

milliseconds RequestRun::retry_after_unanswered() const {
  const TimePoint now = Clock::now();
  milliseconds pause{0};
  for (const auto& part : this->part_calls) {
    if (part->state() != PartCall::State::kAnswered) {
      pause = std::max(pause, part->service().retry_after(
                                  now, this->shared_context->zones()));
    }
  }
  return pause;
}

void RequestRun::log_end(const Outcome& outcome, bool partial) {
  record_request_end(
      *this->shared_context, outcome, partial, Clock::now(),
      [this](eventlog::Event& line) { this->describe_parts(line); });
}

void RequestRun::describe_parts(eventlog::Event& line) const {
  std::size_t sends = 0;
  std::string missing;
  for (const auto& part : this->part_calls) {
    sends += part->times_sent();
    if (part->state() != PartCall::State::kAnswered) {
      missing += (missing.empty() ? "" : " ") + part->service().name();
    }
  }
  line.with("for_peer", this->shared_context->is_for_peer())
      .with("sent_after_ms", this->sent_after)
      .with("parts", this->part_calls.size())
      .with("answered", this->ended_counts.answered)
      .with("sends", sends);
  if (!missing.empty()) {
    line.with("without", missing);
  }
}

}  // namespace ibismux::dispatch
