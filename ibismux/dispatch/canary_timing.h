#ifndef IBISMUX_DISPATCH_CANARY_TIMING_H_
#define IBISMUX_DISPATCH_CANARY_TIMING_H_

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// Returns whether a query can first wait for the answer of a single leaf and
/// still be answered in time.
///
/// @param typical_call The median latency of one call.
/// @param typical_query The median time from sending the calls of a query until
/// its answer.
/// @param until_due Time until the answer is due.
/// Thread safe.
[[nodiscard]] constexpr bool leaves_time_for_canary(
    Duration typical_call,
    Duration typical_query,
    Duration until_due) noexcept {
  // Both times vary, and more so under load, where queries have no time to
  // spare.
  constexpr double kCalls = 2;
  constexpr double kQueries = 1.5;
  return scaled(typical_call, kCalls) + scaled(typical_query, kQueries) <=
         until_due;
}

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_CANARY_TIMING_H_
