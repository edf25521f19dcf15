#ifndef IBISMUX_DISPATCH_CALL_QUEUE_H_
#define IBISMUX_DISPATCH_CALL_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "ibismux/base/time.h"
#include "ibismux/fairness/fair_order.h"
#include "ibismux/fairness/share.h"

namespace ibismux::dispatch {

/// Priority queue of calls to one service that wait for a leaf with capacity.
/// Calls of one priority are served in a fair order of their customers.
///
/// A call in this queue can still be removed when its caller disconnects or its
/// query has enough answers, and a more urgent call can overtake it. A call in
/// a leaf's own queue is executed in any case.
///
///     const auto position = queue.enqueue(priority, share, send, now);
///     queue.remove(position);             // The caller has disconnected.
///     queue.start_waiting(has_capacity);  // A leaf has capacity.
///
/// Belongs to one event loop; not thread safe.
class CallQueue {
 public:
  /// Identifies a waiting call. Never reused within one queue.
  struct Position {
    std::uint32_t priority = 0;
    fairness::FairOrder::Tag tag;
  };

  /// Starts a call. @return False if it can't be started because it has already
  /// been tried at the leafs that have capacity.
  using Start = std::function<bool()>;

  /// Adds a call ahead of all calls with a higher priority number. Calls of the
  /// same priority are served by `fairness::FairOrder`: in the order of their
  /// arrival if they have the same customer.
  /// @param start Called when there is capacity. If it returns true, the call
  /// is removed from the queue; otherwise the call keeps its position.
  [[nodiscard]] Position enqueue(std::uint32_t priority,
                                 const fairness::Share& share,
                                 Start start,
                                 TimePoint now);

  /// Removes a call. Does nothing if the call has been started.
  void remove(const Position& position);

  /// Starts calls in queue order while `has_capacity()` returns true. Each call
  /// is tried once: a call that needs another leaf than the one with capacity
  /// must neither be retried in a loop nor block the calls behind it.
  void start_waiting(const std::function<bool()>& has_capacity);

  [[nodiscard]] bool empty() const noexcept { return this->lanes.empty(); }

  /// For how long the queue has been non-empty without interruption. A burst
  /// fills the queue only briefly; a queue that stays non-empty means that more
  /// work arrives than the leafs can process.
  [[nodiscard]] Duration nonempty_for(TimePoint now) const noexcept {
    return this->lanes.empty() ? Duration::zero() : now - this->nonempty_since;
  }

  /// The number of calls that a new call of `priority` and `share` would wait
  /// behind, including those that others are likely to add meanwhile.
  [[nodiscard]] std::size_t count_ahead(std::uint32_t priority,
                                        const fairness::Share& share) const;

 private:
  struct Call {
    fairness::Share share;
    Start start;
  };
  using Lane = std::map<fairness::FairOrder::Tag, Call>;

  /// The first call after `position`, or the first of all if `position` is
  /// absent; absent after the last call.
  [[nodiscard]] std::optional<Position> next_after(
      const std::optional<Position>& position) const;
  [[nodiscard]] Call extract(const Position& position);
  void reset_empty_orders();

  std::map<std::uint32_t, Lane> lanes;  ///< By priority; no lane is empty.
  std::map<std::uint32_t, fairness::FairOrder> orders;  ///< By priority.
  std::size_t starting = 0;  ///< Calls whose `Start` is running.
  TimePoint nonempty_since = TimePoint::min();
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_CALL_QUEUE_H_
