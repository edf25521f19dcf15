#ifndef IBISMUX_DISPATCH_CALL_QUEUE_H_
#define IBISMUX_DISPATCH_CALL_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// Calls to one service that wait until one of its leafs has room.
///
/// Who waits here can still be dropped when its caller leaves, when its query
/// has enough answers, or when something more urgent comes. What waits in a
/// leaf's own queue is worked on all the same.
///
///     const auto place = queue.join(priority, send, Clock::now());
///     queue.leave(place);      // Its caller is gone.
///     queue.offer(room);       // A leaf has room.
///
/// Belongs to one event loop; not thread safe.
class CallQueue {
 public:
  /// Where a call waits. Never used twice in one queue.
  struct Place {
    std::uint32_t priority = 0;
    std::uint64_t number = 0;
  };

  /// Begins a call. @return False where it can't begin: what has room has had
  /// it already.
  using Start = std::function<bool()>;

  /// Waits behind all of the same priority, and before all of a higher number.
  /// @param start Called when there is room; the call leaves the queue if it
  /// returns true, and keeps its place if not.
  [[nodiscard]] Place join(std::uint32_t priority, Start start, TimePoint now);

  /// Gives a place up. Nothing happens where the call has been started.
  void leave(const Place& place);

  /// Starts calls in their order while `room()` says so. Each is tried once: a
  /// call that waits for another leaf than the one with room must not be
  /// offered it again and again, nor hold up those behind it.
  void offer(const std::function<bool()>& room);

  [[nodiscard]] bool empty() const noexcept { return this->lanes.empty(); }

  /// For how long somebody has waited here without a break. A short queue comes
  /// and goes with each burst; one that stands is more work than the leafs do.
  [[nodiscard]] Duration standing(TimePoint now) const noexcept {
    return this->lanes.empty() ? Duration::zero() : now - this->since;
  }

  /// How many calls a new one of `priority` would wait behind.
  [[nodiscard]] std::size_t ahead_of(std::uint32_t priority) const noexcept;

 private:
  using Lane = std::map<std::uint64_t, Start>;

  /// The first call behind `place`, as where it stands; nothing behind the
  /// last.
  [[nodiscard]] std::optional<Place> next(
      const std::optional<Place>& place) const;
  [[nodiscard]] Start take(const Place& place);

  std::map<std::uint32_t, Lane> lanes;  ///< By priority; none is empty.
  TimePoint since = TimePoint::min();   ///< When the first of them joined.
  std::uint64_t next_number = 0;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_CALL_QUEUE_H_
