#ifndef IBISMUX_DISPATCH_HEDGE_TIMING_H_
#define IBISMUX_DISPATCH_HEDGE_TIMING_H_

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// How long to wait for a call before it is sent to a second leaf as well.
///
/// Early enough for the second answer to be in time, and late enough that few
/// calls would have been answered by then anyway: each of those is load for
/// nothing.
///
/// @param usual What such a call takes at the median leaf.
/// @param until_due From the request's arrival to when its answer is due.
/// Thread safe.
[[nodiscard]] Duration hedge_delay(Duration usual, Duration until_due) noexcept;

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_HEDGE_TIMING_H_
