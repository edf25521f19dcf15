#ifndef IBISMUX_DISPATCH_PART_CALL_H_
#define IBISMUX_DISPATCH_PART_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/dispatch/answer.h"
#include "ibismux/dispatch/call_queue.h"
#include "ibismux/dispatch/forward.h"
#include "ibismux/dispatch/leaf.h"
#include "ibismux/dispatch/repeat_cause.h"
#include "ibismux/dispatch/request_context.h"

namespace ibismux::dispatch {

/// One request's part at one service: sends it to a leaf, and to another one
/// where that helps and is allowed, until one good answer is there.
///
/// What may be sent again: an idempotent request, up to the route's attempts,
/// after a failure or when the answer takes too long; any other one only where
/// no byte was sent, or where the leaf itself says that it hasn't run it. Each
/// send beyond the first draws on the service's budget of repeats.
///
/// Belongs to one event loop; not thread safe.
class PartCall : public std::enable_shared_from_this<PartCall> {
 public:
  enum class State : unsigned char {
    kIdle,
    kOpen,      ///< A call is under way, or waits for a link.
    kAnswered,  ///< `answer()` is there.
    kFailed,    ///< No answer will come.
  };

  /// @param on_change Called when the state becomes kAnswered or kFailed.
  PartCall(std::shared_ptr<const RequestContext> context,
           std::shared_ptr<ServiceGroup> group,
           std::function<void()> on_change);

  /// Begins. Called once. The state may change before it returns, but
  /// `on_change` is only called later.
  void start();

  /// Sends the request to one more leaf if that is allowed and some leaf is
  /// likely to answer sooner.
  void repeat(RepeatCause cause);

  /// Since when a leaf alone is to blame for the wait: the call left on an open
  /// link then, or dialling one should have been done. Nothing where the part
  /// has ended, waits for room, or was hedged.
  [[nodiscard]] std::optional<TimePoint> waits_since() const;

  /// The part has waited longer than usual: repeats it, where the policy says
  /// so. From here on `waits_since()` is empty.
  void hedge();

  /// Begins what waited for another call of the request to end, if it may.
  void resume();

  /// The answer isn't wanted any more: nothing is sent from here on. Calls
  /// under way may still end by themselves: a link is worth keeping, and a late
  /// answer says how the leaf fares.
  void abandon();

  /// Ends the calls under way too.
  void give_up();

  [[nodiscard]] bool has_calls() const noexcept {
    return !this->active.empty();
  }

  [[nodiscard]] State state() const noexcept { return this->current; }
  /// Precondition: kAnswered.
  [[nodiscard]] LeafAnswer& answer() noexcept { return *this->good; }
  /// What the leaf itself answered to a part that failed, if it did.
  [[nodiscard]] std::optional<LeafAnswer>& failure() noexcept {
    return this->bad;
  }
  /// Why the part failed. Precondition: kFailed.
  [[nodiscard]] const Error& error() const noexcept { return this->last_error; }
  /// No leaf has run it, and none will.
  [[nodiscard]] bool certainly_not_run() const noexcept {
    return this->sends == this->sends_not_run;
  }
  [[nodiscard]] const ServiceGroup& service() const noexcept {
    return *this->group;
  }
  /// Leafs that were asked, in order, for the log.
  [[nodiscard]] const std::vector<std::shared_ptr<Leaf>>& tried()
      const noexcept {
    return this->leafs;
  }
  [[nodiscard]] std::size_t times_sent() const noexcept { return this->sends; }

 private:
  struct Attempt {
    std::shared_ptr<Leaf> leaf;
    std::shared_ptr<ActiveCall> active;
    TimePoint began;
  };

  [[nodiscard]] bool may_repeat() const noexcept;
  [[nodiscard]] SelectionCriteria criteria(bool is_repeat) const;
  /// The best leaf that was not asked yet, or null.
  /// @param is_repeat The first call goes on: only for a leaf that answers.
  [[nodiscard]] std::shared_ptr<Leaf> choose(bool is_repeat) const;
  [[nodiscard]] bool send_first();
  /// @return False where it has to wait for room.
  [[nodiscard]] bool begin();
  /// @param start See `CallQueue`; not called once the part has ended.
  void wait_for_room(std::function<bool()> start);
  void leave_queue();
  /// Waits for `resume()`. @param start As for `wait_for_room()`.
  void hold(std::function<bool()> start) {
    this->held = std::move(start);
    this->context->crashes->on_wait();
  }
  /// @param cause Absent: for the first time.
  void send_to(const std::shared_ptr<Leaf>& leaf,
               std::optional<RepeatCause> cause);
  void on_end(const std::shared_ptr<ActiveCall>& active, CallEnd end);
  /// What the end of a call says of the request.
  void judge_request(const CallEnd& end, const Leaf& leaf);
  void take_end(CallEnd end);
  void on_reply(LeafReply reply);
  void on_error(Error error, bool sent);
  /// @param sent A byte may have reached the leaf.
  void retry(RepeatCause cause, Error error, bool sent);
  /// What became of a try to send once more.
  enum class Again : unsigned char {
    kSent,
    kNoRoom,  ///< Some leaf may take it, but has no room now.
    kHeld,    ///< It waits for another call of the request to end.
    kNever,   ///< No leaf will, or it isn't allowed.
  };
  [[nodiscard]] Again send_again(RepeatCause cause, bool sent);
  /// @return False where it has to wait for room.
  [[nodiscard]] bool send_again_or_fail(RepeatCause cause, bool sent);
  void finish(State state);
  void note(std::string_view event, const Leaf& leaf, std::string_view detail);

  const std::shared_ptr<const RequestContext> context;
  const std::shared_ptr<ServiceGroup> group;
  const std::function<void()> on_change;

  std::optional<CallQueue::Position> place;  ///< While it waits for a leaf.
  std::function<bool()> held;  ///< Set while it waits for `resume()`.
  State current = State::kIdle;
  bool starting = false;
  bool abandoned = false;
  bool hedged = false;
  std::vector<std::shared_ptr<Leaf>> leafs;
  std::vector<Attempt> active;
  /// Sends that a leaf may have run count against the route's attempts.
  std::uint32_t sends = 0;
  std::uint32_t sends_not_run = 0;
  std::optional<LeafAnswer> good;
  std::optional<LeafAnswer> bad;
  Error last_error;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_PART_CALL_H_
