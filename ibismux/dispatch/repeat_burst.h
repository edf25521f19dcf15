#ifndef IBISMUX_DISPATCH_REPEAT_BURST_H_
#define IBISMUX_DISPATCH_REPEAT_BURST_H_

#include "ibismux/dispatch/forward.h"

namespace ibismux::dispatch {

/// How many repeats this daemon may save up for one service, out of those that
/// the service bears from all daemons beyond the share of its requests.
///
/// Daemons that gather queries for others make most calls to shards, and get up
/// to half of the whole; the parts of all daemons add up to no more than it.
/// Thread safe.
///
/// @param slack Repeats that the service bears, see `DispatchSettings`.
[[nodiscard]] double repeat_burst(double slack, const LinkSharers& sharers);

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_REPEAT_BURST_H_
