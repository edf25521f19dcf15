#ifndef IBISMUX_EDGE_STALL_DETECTOR_H_
#define IBISMUX_EDGE_STALL_DETECTOR_H_

#include <chrono>

#include "ibismux/base/time.h"

namespace ibismux::edge {

/// Notices that this process, or its host, was stalled for a while.
///
/// A host that was suspended wakes with leafs and a configuration that may be
/// long gone, while every connection still looks well: the steady clock doesn't
/// count the time. Two clocks that drift apart, or a tick that comes late, say
/// so at the next tick.
///
/// Not thread safe.
class StallDetector {
 public:
  /// Time since the host was started, suspensions included.
  using BootTime = std::chrono::nanoseconds;

  /// @param interval Between two calls of `tick()`.
  StallDetector(Duration interval, TimePoint now, BootTime boot_time) noexcept
      : interval(interval), last(now), last_boot(boot_time) {}

  /// @return How long the process was stalled since the last tick; zero where
  /// that is less than `kLeastStall`.
  [[nodiscard]] Duration tick(TimePoint now, BootTime boot_time) noexcept {
    const Duration passed =
        std::max<Duration>(now - this->last, boot_time - this->last_boot);
    this->last = now;
    this->last_boot = boot_time;
    const Duration stall = passed - this->interval;
    return stall >= kLeastStall ? stall : Duration::zero();
  }

  /// The system's clock for `BootTime`. Thread safe.
  [[nodiscard]] static BootTime boot_time() noexcept;

 private:
  // A busy host of a quarter of a core runs late by some tens of milliseconds.
  static constexpr std::chrono::milliseconds kLeastStall{800};

  const Duration interval;
  TimePoint last;
  BootTime last_boot;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_STALL_DETECTOR_H_
