#ifndef IBISMUX_BASE_TIME_H_
#define IBISMUX_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace ibismux {

/// The clock of every deadline and timer. Wall-clock time appears only in what
/// a person reads (logs, the audit trail), in claim retention and in how long
/// requests are quarantined.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using WallTime = std::chrono::system_clock::time_point;

/// What is left until `deadline`, never negative.
[[nodiscard]] constexpr Duration remaining(TimePoint deadline,
                                           TimePoint now) noexcept {
  return deadline > now ? deadline - now : Duration::zero();
}

/// Whole milliseconds, rounded down. Deadlines travel between hosts in this
/// form: as time that remains, so that clocks need not agree.
[[nodiscard]] constexpr std::int64_t to_millis(Duration duration) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// For ratios, and for what is told in seconds.
[[nodiscard]] constexpr double to_seconds(Duration duration) noexcept {
  return std::chrono::duration<double>(duration).count();
}

/// `factor` times `duration`, rounded down to the clock's unit.
[[nodiscard]] constexpr Duration scaled(Duration duration,
                                        double factor) noexcept {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace ibismux

#endif  // IBISMUX_BASE_TIME_H_
