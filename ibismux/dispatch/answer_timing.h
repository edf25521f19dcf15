#ifndef IBISMUX_DISPATCH_ANSWER_TIMING_H_
#define IBISMUX_DISPATCH_ANSWER_TIMING_H_

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// When an answer should go out, even without its last shards, to reach its
/// caller within the objective, which counts from the caller's first step.
///
/// @param opens_connection The request is the first of its connection: its
/// caller has waited for that as well.
/// Thread safe.
[[nodiscard]] TimePoint answer_due(TimePoint received,
                                   Duration objective,
                                   bool opens_connection) noexcept;

/// What this daemon will take to make the answer once it is due, by what it
/// took to send out the calls of the same query: both grow with the number of
/// shards, and with how slow and busy the host is now.
///
/// @param sending From the query's arrival until its last call was begun.
/// Thread safe.
[[nodiscard]] Duration time_to_answer(Duration sending) noexcept;

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_ANSWER_TIMING_H_
