#ifndef IBISMUX_DISPATCH_RETRY_AFTER_H_
#define IBISMUX_DISPATCH_RETRY_AFTER_H_

#include <algorithm>
#include <chrono>

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// When a caller that is refused should come back, by how long what it was
/// refused for is expected to last. Pauses and bursts of single leafs are over
/// after a tenth of a second, and who is told to stay away for more than one
/// misses the end of a longer burst. Thread safe.
[[nodiscard]] constexpr std::chrono::milliseconds retry_after(
    Duration expected) noexcept {
  constexpr std::chrono::milliseconds kLeast{100};
  constexpr std::chrono::milliseconds kLongest{1000};
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::clamp<Duration>(expected, kLeast, kLongest));
}

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_RETRY_AFTER_H_
