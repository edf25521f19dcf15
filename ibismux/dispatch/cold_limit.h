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

/// Rate limit for the calls of one daemon to a cold leaf: at most `calls`
/// within any `window`.
struct ColdShare {
  std::size_t calls = 0;  ///< 0: no call may start.
  Duration window{0};
};

/// Computes this daemon's share of the request rate that a cold leaf tolerates,
/// without any message between daemons: the shares of all daemons add up to at
/// most `rate`. If the rate is lower than the number of daemons, only as many
/// daemons as the rate allows use the leaf, and a different subset for each
/// leaf. Thread safe.
///
/// @param rate Requests per second that the leaf tolerates from all daemons
/// together. Precondition: greater than 0.
/// @param leaf Identifies the leaf; the same on all daemons.
[[nodiscard]] ColdShare cold_share(double rate,
                                   const LinkSharers& sharers,
                                   std::uint64_t leaf) noexcept;

/// Limits the calls of this daemon to one leaf to its share while the leaf is
/// cold: a cold leaf that gets more calls than it tolerates crashes.
///
/// Not thread safe. Time arguments must not decrease.
class ColdLimit {
 public:
  /// Replaces the share. A share with a zero window sets no limit.
  void set_share(ColdShare share) noexcept { this->share = share; }

  /// The leaf reports that it is cold until `until`.
  void set_reported(TimePoint until) noexcept { this->reported_until = until; }

  /// The leaf counts as cold until `until`, whatever it has reported.
  void assume_cold(TimePoint until) noexcept { this->assumed_until = until; }

  /// Whether a call may start now.
  [[nodiscard]] bool allows(TimePoint now) const noexcept;

  /// Whether no call may start before the leaf is warm.
  [[nodiscard]] bool is_closed(TimePoint now) const noexcept {
    return this->is_limited(now) && this->share.calls == 0;
  }

  /// The earliest time at which the next call may start; at least `now`.
  [[nodiscard]] TimePoint next_allowed(TimePoint now) const noexcept;

  /// Records the start of a call. Precondition: `allows(now)`.
  void on_call(TimePoint now);

 private:
  [[nodiscard]] bool is_limited(TimePoint now) const noexcept {
    return this->share.window > Duration::zero() && now < this->warm_at();
  }
  [[nodiscard]] TimePoint warm_at() const noexcept {
    return std::max(this->reported_until, this->assumed_until);
  }
  /// When the oldest of the last `share.calls` calls leaves the window.
  [[nodiscard]] TimePoint free_at() const noexcept;

  ColdShare share;
  TimePoint reported_until = TimePoint::min();
  TimePoint assumed_until = TimePoint::min();
  std::deque<TimePoint> recent;  ///< Start times of the latest calls.
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_COLD_LIMIT_H_
