#ifndef IBISMUX_QUARANTINE_UNIX_TIME_H_
#define IBISMUX_QUARANTINE_UNIX_TIME_H_

#include <chrono>

namespace ibismux::quarantine {

/// Since the Unix epoch, by the host's clock. Quarantines last for hours: that
/// clocks of hosts differ by seconds doesn't matter.
using UnixTime = std::chrono::milliseconds;

/// Thread safe.
[[nodiscard]] inline UnixTime unix_now() {
  return std::chrono::duration_cast<UnixTime>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace ibismux::quarantine

#endif  // IBISMUX_QUARANTINE_UNIX_TIME_H_
