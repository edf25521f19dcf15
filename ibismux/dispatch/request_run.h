#ifndef IBISMUX_DISPATCH_REQUEST_RUN_H_
#define IBISMUX_DISPATCH_REQUEST_RUN_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/coverage/part_urgency.h"
#include "ibismux/dispatch/answer.h"
#include "ibismux/dispatch/forward.h"
#include "ibismux/dispatch/part_call.h"
#include "ibismux/dispatch/request_context.h"
#include "ibismux/http/cancel_reason.h"
#include "ibismux/http/socket.h"

namespace ibismux::dispatch {

/// Runs one request from its arrival to its answer: owns its parts, its timer
/// and its completion.
///
/// Subclasses decide when the request is complete. Belongs to one event loop;
/// not thread safe. The timer keeps the run alive until the run has ended and
/// none of the calls that it would cancel is in flight.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
 public:
  using Done = std::function<void(Outcome)>;

  /// @param done Called once, with the outcome.
  RequestRun(boost::asio::io_context& loop,
             std::shared_ptr<const RequestContext> context,
             std::vector<std::shared_ptr<ServiceGroup>> groups,
             Done done);
  virtual ~RequestRun() = default;

  /// Starts the run. Must be called only once.
  void start();

  /// Ends the run before its deadline. If the caller has disconnected, calls
  /// that are about to complete may do so; the others, unless the request is
  /// at-most-once, are cancelled within `kCallerGoneGrace`. If the daemon
  /// stops, the run ends as at its deadline, with what it has.
  void cancel(http::CancelReason reason);

 protected:
  using Parts = std::vector<std::shared_ptr<PartCall>>;

  /// Returns by how much the expected queueing delay exceeds the longest wait
  /// with which the answer is still in time. Zero or less if the answer can be
  /// in time, and `Duration::max()` if too few leafs can be reached for any
  /// answer. A request that cannot be in time is refused before any leaf works
  /// on it.
  [[nodiscard]] virtual Duration excess_wait(TimePoint now) const = 0;

  /// Returns the same for one service. If its queue is a standing queue, the
  /// wait must leave time for the work before the answer is due; if the queue
  /// has only just formed, before the request's deadline. A wait no longer than
  /// the work itself is never excessive, whatever the objective is, since it is
  /// no sign of overload.
  [[nodiscard]] Duration excess_wait_at(const ServiceGroup& service,
                                        TimePoint now) const;

  /// What the open parts may spend on their answers, after `lost` parts have
  /// failed or have no leaf.
  [[nodiscard]] virtual coverage::PartUrgency urgency(std::size_t lost) const {
    static_cast<void>(lost);
    return {};
  }

  /// Whether the request is sent to a single leaf first.
  [[nodiscard]] virtual bool starts_with_canary(TimePoint now) const = 0;

  /// Ends the run if the states of its parts allow or require it.
  virtual void check_completion(TimePoint now) = 0;

  /// Calls `check_completion()` no later than `when`, in addition to each state
  /// change of a part.
  void wake_at(TimePoint when);

  /// The number of parts in each final state.
  struct PartCounts {
    std::size_t answered = 0;
    std::size_t failed = 0;
  };

  [[nodiscard]] const Parts& parts() const noexcept { return this->part_calls; }
  /// Updated as parts end, so that each end of a part can read it in constant
  /// time.
  [[nodiscard]] const PartCounts& part_counts() const noexcept {
    return this->ended_counts;
  }
  [[nodiscard]] const RequestContext& context() const noexcept {
    return *this->shared_context;
  }
  /// When the answer should be sent, even if shards are still missing.
  [[nodiscard]] TimePoint answer_by() const noexcept;
  /// Whether the run must end now, with what it has.
  [[nodiscard]] bool is_past_deadline(TimePoint now) const noexcept {
    return this->stopping || now >= this->shared_context->final_deadline;
  }

  /// Hedges each part whose leaf takes longer than usual, as often as its
  /// urgency allows, and schedules the timer for the next one.
  void hedge_late_parts(TimePoint now);

  /// Ends the run.
  void finish(Outcome outcome, bool partial = false);

  /// Ends the run with an error. Its execution is kNotRun only if no leaf has
  /// run or will run any part.
  void fail_run(ErrorKind kind, std::string message);

  /// Ends the run with an error because it must end now.
  /// @param message Why there is no answer yet.
  void fail_past_deadline(std::string_view message);

 private:
  /// Ends the run if it cannot succeed in time. @return Whether it did.
  [[nodiscard]] bool refuse_if_unservable(TimePoint now);
  /// Sets the urgency of all parts. @return Whether it has changed.
  bool update_urgency();
  void count_if_ended(const PartCall& part) noexcept;
  void on_change(const PartCall& part);
  /// Resumes the parts whose sends were deferred, or fails the run if the
  /// request may not be sent any more.
  void resume_parts();
  void arm();
  /// While calls wait for a canary that takes longer than usual, sends the
  /// request to one more leaf, and shortly before the deadline to all of them.
  /// @return Whether calls still wait.
  [[nodiscard]] bool wait_for_canary(TimePoint now);
  /// Starts hedging once all calls may be sent.
  void on_canary_answered(TimePoint now);
  /// Rearms the timer if it fired late, and returns whether it did. If the
  /// event loop is late, answers may have arrived that have not been read yet.
  /// Hedging their calls would add load and delay the loop further.
  [[nodiscard]] bool rearm_if_late(TimePoint now);
  void on_timer();
  void stop_parts();
  /// Returns after what time leafs may be able to take the unanswered parts.
  [[nodiscard]] std::chrono::milliseconds retry_after_unanswered() const;
  void log_end(const Outcome& outcome, bool partial);
  /// Adds the results of the parts to the log event.
  void describe_parts(eventlog::Event& line) const;

  const std::shared_ptr<const RequestContext> shared_context;
  const std::vector<std::shared_ptr<ServiceGroup>> groups;
  Done done;
  Parts part_calls;
  PartCounts ended_counts;
  coverage::PartUrgency part_urgency;
  std::size_t lost_at_start = 0;  ///< Parts without a leaf on arrival.
  Duration sent_after{0};  ///< From the arrival until all parts were started.
  /// When all parts could be started.
  TimePoint parts_started;
  TimePoint canary_due;  ///< When the request is sent to one more leaf.
  bool waits_for_canary = false;
  http::Timer timer;
  TimePoint wake_time;
  /// The timer has fired late, and the events that were pending then have been
  /// handled since.
  bool caught_up = false;
  bool starting = false;
  bool ended = false;
  bool caller_gone = false;  ///< The caller has disconnected.
  bool stopping = false;     ///< The daemon stops.
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_REQUEST_RUN_H_
