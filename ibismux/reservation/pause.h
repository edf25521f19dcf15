#ifndef IBISMUX_RESERVATION_PAUSE_H_
#define IBISMUX_RESERVATION_PAUSE_H_

#include "ibismux/base/task.h"
#include "ibismux/base/time.h"

namespace ibismux::reservation {

/// Suspends the caller until `time`. Thread safe.
[[nodiscard]] Task<> pause_until(TimePoint time);

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_PAUSE_H_
