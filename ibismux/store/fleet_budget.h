#ifndef IBISMUX_STORE_FLEET_BUDGET_H_
#define IBISMUX_STORE_FLEET_BUDGET_H_

#include <cstddef>

#include "ibismux/store/call_budget.h"

namespace ibismux::store {

/// What the whole fleet may ask of the platform, and how a daemon's share
/// follows from the fleet's size.
struct FleetBudget {
  /// Calls a second of all daemons together, by kind.
  std::array<double, kCallKinds> per_second = {1000, 300, 300};
  /// A daemon's share is this many times its even part. Roles are uneven (few
  /// watch, few publish, a claim's bucket has one owner), so an even part would
  /// starve those who need calls while the rest leaves theirs unused.
  double oversubscription = 4;
  /// A share is never below this, so that any daemon can start and publish. Few
  /// daemons of a large fleet write, and those need more than an even part.
  std::array<double, kCallKinds> least_per_second = {0.5, 5, 0.5};
  /// A share is never above this: what one daemon of a small fleet needs.
  std::array<double, kCallKinds> most_per_second = {50, 40, 20};
  /// What may come at once: the calls of this time, and at least `least_burst`.
  std::chrono::milliseconds burst_time{2000};
  std::array<double, kCallKinds> least_burst = {12, 20, 12};
};

/// The share of one of `members` daemons; 0 members count as one. Thread safe.
[[nodiscard]] CallRates share_of(const FleetBudget& fleet,
                                 std::size_t members) noexcept;

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_FLEET_BUDGET_H_
