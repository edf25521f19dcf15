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

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_ANSWER_TIMING_H_
