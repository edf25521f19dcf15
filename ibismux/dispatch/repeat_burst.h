#ifndef IBISMUX_DISPATCH_REPEAT_BURST_H_
#define IBISMUX_DISPATCH_REPEAT_BURST_H_

#include "ibismux/dispatch/forward.h"

namespace ibismux::dispatch {

/// Returns how many repeats this daemon may accumulate for one service. All
/// daemons share the repeats that the service can bear beyond the fraction of
/// its requests that is always allowed.
///
/// Daemons that gather queries for others make most of the calls to shards, so
/// together they get up to half of the total. The shares of all daemons add up
/// to no more than the total. Thread safe.
///
/// @param slack Repeats that the service can bear, see `DispatchSettings`.
[[nodiscard]] double repeat_burst(double slack, const LinkSharers& sharers);

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_REPEAT_BURST_H_
