#ifndef IBISMUX_BASE_UNIX_TIME_H_
#define IBISMUX_BASE_UNIX_TIME_H_

#include <chrono>

namespace ibismux {

/// Since the Unix epoch, by the host's clock: for what outlives a run of the
/// daemon. Clocks of hosts differ by seconds, and may be set.
using UnixTime = std::chrono::milliseconds;

/// Thread safe.
[[nodiscard]] inline UnixTime unix_now() {
  return std::chrono::duration_cast<UnixTime>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace ibismux

#endif  // IBISMUX_BASE_UNIX_TIME_H_
