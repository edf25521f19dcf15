#ifndef IBISMUX_DISPATCH_ANSWER_TIMING_H_
#define IBISMUX_DISPATCH_ANSWER_TIMING_H_

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// Returns when an answer should be sent, even if shards are still missing, so
/// that it reaches the caller within the objective. The objective counts from
/// when the caller starts, which includes setting up the connection.
///
/// @param opens_connection The request is the first one on its connection: its
/// caller has also waited for the connection to be set up.
/// Thread safe.
[[nodiscard]] TimePoint answer_due(TimePoint received,
                                   Duration objective,
                                   bool opens_connection) noexcept;

/// Estimates how long this daemon takes to assemble the answer once it is due,
/// from how long it took to send the calls of the same query. Both grow with
/// the number of shards and with the current load of the host.
///
/// @param send_time From the arrival of the query until its last call was
/// started.
/// Thread safe.
[[nodiscard]] Duration answer_assembly_time(Duration send_time) noexcept;

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_ANSWER_TIMING_H_
