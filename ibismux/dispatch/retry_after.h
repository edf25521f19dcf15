#ifndef IBISMUX_DISPATCH_RETRY_AFTER_H_
#define IBISMUX_DISPATCH_RETRY_AFTER_H_

#include <algorithm>
#include <chrono>

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// Returns when a refused caller should retry, given how long the reason for
/// the refusal is expected to last. Pauses and bursts of single leafs end
/// within a tenth of a second. A caller that waits for more than a second
/// misses the end of a longer burst. Thread safe.
[[nodiscard]] constexpr std::chrono::milliseconds retry_after(
    Duration expected) noexcept {
  constexpr std::chrono::milliseconds kMinRetryAfter{100};
  constexpr std::chrono::milliseconds kMaxRetryAfter{1000};
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::clamp<Duration>(expected, kMinRetryAfter, kMaxRetryAfter));
}

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_RETRY_AFTER_H_
