#ifndef IBISMUX_ADMISSION_LATENCY_BASELINE_H_
#define IBISMUX_ADMISSION_LATENCY_BASELINE_H_

#include <cstdint>

#include "ibismux/base/time.h"

namespace ibismux::admission {

/// What a service's requests take when nothing waits: the least mean of some
/// requests in a row, forgotten slowly so that it follows a lasting change.
///
/// Not thread safe.
class LatencyBaseline {
 public:
  /// Takes in one latency. @return How many times the baseline it is; 1 while
  /// there is none.
  [[nodiscard]] double stretch(Duration latency, TimePoint now) noexcept;

  /// The same without taking it in.
  [[nodiscard]] double stretch_of(Duration latency) const noexcept;

 private:
  void close_group(TimePoint now) noexcept;

  Duration least{};
  TimePoint least_at{};
  std::uint32_t count = 0;
  Duration sum{};
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_LATENCY_BASELINE_H_
