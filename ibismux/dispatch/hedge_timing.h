#ifndef IBISMUX_DISPATCH_HEDGE_TIMING_H_
#define IBISMUX_DISPATCH_HEDGE_TIMING_H_

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// Returns how long to wait for a call before it is hedged, that is, also sent
/// to a second leaf.
///
/// The delay is short enough for the second answer to arrive in time, and long
/// enough that few calls would have been answered by then anyway: hedging those
/// only adds load.
///
/// @param typical_latency The median latency of such a call.
/// @param until_due From the arrival of the request until its answer is due.
/// @param urgency Shortens the delay, within its bounds; see
/// `coverage::PartUrgency`.
/// Thread safe.
[[nodiscard]] Duration hedge_delay(Duration typical_latency,
                                   Duration until_due,
                                   double urgency = 1) noexcept;

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_HEDGE_TIMING_H_
