#ifndef IBISMUX_EDGE_STALL_DETECTOR_H_
#define IBISMUX_EDGE_STALL_DETECTOR_H_

#include <chrono>

#include "ibismux/base/time.h"

namespace ibismux::edge {

/// Detects that this process or its host was stalled.
///
/// After a host was suspended, its leafs and configuration may be long out of
/// date, while every connection still looks healthy, because the steady clock
/// doesn't count the suspension. The next tick detects a stall by a late tick
/// or by the difference between the steady clock and the boot-time clock.
///
/// Not thread safe.
class StallDetector {
 public:
  /// Time since the host was started, suspensions included.
  using BootTime = std::chrono::nanoseconds;

  /// @param interval The expected time between two calls of `tick()`.
  StallDetector(Duration interval, TimePoint now, BootTime boot_time) noexcept
      : interval(interval), last(now), last_boot(boot_time) {}

  /// @return The duration of the stall since the last tick; zero if it is less
  /// than `kMinStall`.
  [[nodiscard]] Duration tick(TimePoint now, BootTime boot_time) noexcept {
    const Duration passed =
        std::max<Duration>(now - this->last, boot_time - this->last_boot);
    this->last = now;
    this->last_boot = boot_time;
    const Duration stall = passed - this->interval;
    return stall >= kMinStall ? stall : Duration::zero();
  }

  /// Reads the system's boot-time clock. Thread safe.
  [[nodiscard]] static BootTime boot_time() noexcept;

 private:
  // On a busy host with a quarter of a core, ticks are late by some tens of
  // milliseconds.
  static constexpr std::chrono::milliseconds kMinStall{800};

  const Duration interval;
  TimePoint last;
  BootTime last_boot;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_STALL_DETECTOR_H_
