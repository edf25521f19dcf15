#ifndef IBISMUX_DISPATCH_PART_CALL_H_
#define IBISMUX_DISPATCH_PART_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/coverage/part_urgency.h"
#include "ibismux/dispatch/answer.h"
#include "ibismux/dispatch/call_queue.h"
#include "ibismux/dispatch/forward.h"
#include "ibismux/dispatch/leaf.h"
#include "ibismux/dispatch/repeat_cause.h"
#include "ibismux/dispatch/request_context.h"

namespace ibismux::dispatch {

/// The part of a request that one service answers: sends it to a leaf, and to
/// further leafs where that helps and is allowed, until one of them has
/// answered successfully.
///
/// An idempotent request may be sent again, up to the route's maximum number of
/// attempts, after a failure or when the answer takes too long. Any other
/// request may be sent again only if no byte of it was sent, or if the leaf
/// reports that it has not run it. Each send after the first one uses the
/// repeat budget of the service.
///
/// Belongs to one event loop; not thread safe.
class PartCall : public std::enable_shared_from_this<PartCall> {
 public:
  enum class State : unsigned char {
    kIdle,
    kOpen,      ///< A call is in flight or waits in the queue.
    kAnswered,  ///< `answer()` is available.
    kFailed,    ///< No answer will come.
  };

  /// @param on_change Called when the state becomes kAnswered or kFailed.
  PartCall(std::shared_ptr<const RequestContext> context,
           std::shared_ptr<ServiceGroup> group,
           std::function<void()> on_change);

  /// Starts the part. Must be called only once. The state may change before
  /// this returns, but `on_change` is only called later.
  void start();

  /// Sends the request to one more leaf if that is allowed and some leaf is
  /// likely to answer sooner.
  void repeat(RepeatCause cause);

  /// What the part may spend on its answer from now on.
  void set_urgency(const coverage::PartUrgency& fresh) {
    this->urgency = fresh;
  }

  /// Returns since when the part has been waiting for a leaf and nothing else:
  /// the time when the last call was sent on an open connection, or when
  /// dialing should have been done. Empty if the part has ended, waits in the
  /// queue, or was hedged as often as its urgency allows.
  [[nodiscard]] std::optional<TimePoint> waiting_since() const;

  /// Counts a hedge of the part and repeats it if the policy enables hedging.
  /// To be called when the part has waited longer than usual.
  void hedge();

  /// Starts the send that was deferred until another call of the request has
  /// ended, if it is allowed now.
  void resume();

  /// The answer is no longer needed: nothing more is sent. Calls in flight may
  /// still complete, which keeps their connections usable and provides a
  /// latency sample of the leaf.
  void stop_sending();

  /// Cancels the calls in flight as well.
  void cancel_calls();

  [[nodiscard]] bool has_calls() const noexcept {
    return !this->open_attempts.empty();
  }

  [[nodiscard]] State state() const noexcept { return this->current_state; }
  /// Precondition: kAnswered.
  [[nodiscard]] LeafAnswer& answer() noexcept { return *this->success; }
  /// The error response of the leaf if the part failed with one.
  [[nodiscard]] std::optional<LeafAnswer>& failure() noexcept {
    return this->failure_answer;
  }
  /// Why the part failed. Precondition: kFailed.
  [[nodiscard]] const Error& error() const noexcept { return this->last_error; }
  /// No leaf has run the request, and none will.
  [[nodiscard]] bool certainly_not_run() const noexcept {
    return this->sends == this->sends_not_run;
  }
  [[nodiscard]] const ServiceGroup& service() const noexcept {
    return *this->group;
  }
  /// Leafs that the request was sent to, in order.
  [[nodiscard]] const std::vector<std::shared_ptr<Leaf>>& tried()
      const noexcept {
    return this->tried_leafs;
  }
  [[nodiscard]] std::size_t times_sent() const noexcept { return this->sends; }

 private:
  struct Attempt {
    std::shared_ptr<Leaf> leaf;
    std::shared_ptr<ActiveCall> active;
    TimePoint started_at;
  };

  [[nodiscard]] bool may_repeat() const noexcept;
  [[nodiscard]] SelectionCriteria criteria(bool is_repeat) const;
  /// Returns the best leaf that has not been tried yet, or null.
  /// @param is_repeat An earlier call is still in flight: only responsive leafs
  /// are considered.
  [[nodiscard]] std::shared_ptr<Leaf> choose(bool is_repeat) const;
  [[nodiscard]] bool send_first();
  /// @return False if the part has to wait in the queue.
  [[nodiscard]] bool begin();
  /// @param start See `CallQueue`; not called once the part has ended.
  void wait_for_room(std::function<bool()> start);
  void leave_queue();
  /// Defers `start` until `resume()`. @param start As for `wait_for_room()`.
  void defer(std::function<bool()> start) {
    this->deferred_start = std::move(start);
    this->context->crashes->on_wait();
  }
  /// @param cause Absent for the first send.
  void send_to(const std::shared_ptr<Leaf>& leaf,
               std::optional<RepeatCause> cause);
  void on_end(const std::shared_ptr<ActiveCall>& active, CallEnd end);
  /// Reports the end of a call to the crash watch of the request.
  void update_crash_watch(const CallEnd& end, const Leaf& leaf);
  void handle_end(CallEnd end);
  void on_reply(LeafReply reply);
  void on_error(Error error, bool sent);
  /// @param sent A byte may have reached the leaf.
  void retry(RepeatCause cause, Error error, bool sent);
  /// The result of an attempt to send the request again.
  enum class ResendResult : unsigned char {
    kSent,
    kNoRoom,    ///< A leaf may take it later, but none has room now.
    kDeferred,  ///< Waits for another call of the request to end.
    kRejected,  ///< No leaf can take it, or it is not allowed.
  };
  [[nodiscard]] ResendResult send_again(RepeatCause cause, bool sent);
  /// @return False if the part has to wait in the queue.
  [[nodiscard]] bool send_again_or_fail(RepeatCause cause, bool sent);
  void finish(State state);
  void log_event(std::string_view event,
                 const Leaf& leaf,
                 std::string_view detail);

  const std::shared_ptr<const RequestContext> context;
  const std::shared_ptr<ServiceGroup> group;
  const std::function<void()> on_change;

  std::optional<CallQueue::Position> place;  ///< Set while the part is queued.
  std::function<bool()> deferred_start;      ///< Set while deferred.
  State current_state = State::kIdle;
  bool starting = false;
  bool stopped = false;
  coverage::PartUrgency urgency;
  std::uint32_t hedges = 0;
  /// When the part was last hedged, whether or not a leaf could be called.
  TimePoint hedged_at = TimePoint::min();
  std::vector<std::shared_ptr<Leaf>> tried_leafs;
  std::vector<Attempt> open_attempts;
  /// The number of sends. Those that a leaf may have run count against the
  /// route's maximum number of attempts.
  std::uint32_t sends = 0;
  std::uint32_t sends_not_run = 0;
  std::optional<LeafAnswer> success;
  std::optional<LeafAnswer> failure_answer;
  Error last_error;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_PART_CALL_H_
