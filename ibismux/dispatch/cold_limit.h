#ifndef IBISMUX_DISPATCH_COLD_LIMIT_H_
#define IBISMUX_DISPATCH_COLD_LIMIT_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

struct LinkSharers;

/// Calls that one daemon may start at a cold leaf within any `window`.
struct ColdShare {
  std::size_t calls = 0;  ///< 0: none.
  Duration window{0};
};

/// This daemon's part of the requests that a cold leaf bears, without any
/// message between daemons: parts of all add up to no more than `rate`. Where
/// the rate is lower than the number of daemons, only so many of them use the
/// leaf, others for each leaf. Thread safe.
///
/// @param rate Requests a second that the leaf bears from all daemons.
/// Precondition: greater than 0.
/// @param leaf Tells leafs apart; the same on all daemons.
[[nodiscard]] ColdShare cold_share(double rate,
                                   const LinkSharers& sharers,
                                   std::uint64_t leaf) noexcept;

/// Keeps the calls of this daemon at one leaf within its share while the leaf
/// is cold: one that gets more than it bears then crashes.
///
/// Not thread safe. The times given never go back.
class ColdLimit {
 public:
  /// Replaces the share. A share without a window sets no limit.
  void set_share(ColdShare share) noexcept { this->share = share; }

  /// The leaf itself says how long it is cold from now on.
  void set_told(TimePoint until) noexcept { this->told_until = until; }

  /// The leaf must be taken to be cold, whatever it has said.
  void assume(TimePoint until) noexcept { this->assumed_until = until; }

  /// Whether a call may start now.
  [[nodiscard]] bool allows(TimePoint now) const noexcept;

  /// Whether no call may start here before the leaf is warm.
  [[nodiscard]] bool is_closed(TimePoint now) const noexcept {
    return this->limits(now) && this->share.calls == 0;
  }

  /// When the next call may start; not before `now`.
  [[nodiscard]] TimePoint next(TimePoint now) const noexcept;

  /// A call starts. Precondition: `allows(now)`.
  void on_call(TimePoint now);

 private:
  [[nodiscard]] bool limits(TimePoint now) const noexcept {
    return this->share.window > Duration::zero() && now < this->warm_at();
  }
  [[nodiscard]] TimePoint warm_at() const noexcept {
    return std::max(this->told_until, this->assumed_until);
  }
  /// When the oldest of as many calls as may start has left the window.
  [[nodiscard]] TimePoint free_at() const noexcept;

  ColdShare share;
  TimePoint told_until = TimePoint::min();
  TimePoint assumed_until = TimePoint::min();
  std::deque<TimePoint> recent;  ///< Calls within the last window.
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_COLD_LIMIT_H_
