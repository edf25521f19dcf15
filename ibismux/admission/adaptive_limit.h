#ifndef IBISMUX_ADMISSION_ADAPTIVE_LIMIT_H_
#define IBISMUX_ADMISSION_ADAPTIVE_LIMIT_H_

#include <cstdint>

#include "ibismux/base/time.h"

namespace ibismux::admission {

/// How many requests at once the leafs behind a group of services can carry,
/// found from how long their calls wait for the leafs.
///
/// Not thread safe.
class AdaptiveLimit {
 public:
  explicit AdaptiveLimit(double initial) : value(initial) {}

  [[nodiscard]] double limit() const noexcept { return this->value; }

  /// A request was let in; `in_flight` counts it.
  void on_admitted(std::uint32_t in_flight) noexcept;

  /// A request was refused for the limit.
  void on_refused() noexcept;

  /// A request ended. @param stretch Of its calls, waiting and work over work
  /// alone; 1 if none waited. @param in_flight What is left without it.
  void on_finished(double stretch,
                   Duration latency,
                   std::uint32_t in_flight,
                   TimePoint now) noexcept;

  /// A request ended because leafs were overloaded.
  void on_overloaded(std::uint32_t in_flight, TimePoint now) noexcept;

 private:
  void close_window(std::uint32_t in_flight, TimePoint now) noexcept;

  double value;
  bool refused = false;  ///< Since a request last went well.
  TimePoint window_start{};
  std::uint32_t finished = 0;
  std::uint32_t waited = 0;  ///< Of the finished, those over the tolerance.
  std::uint32_t overloaded = 0;
  double stretch_sum = 0;
  Duration latency_sum{};
  std::uint32_t peak = 0;  ///< Most in flight in this window.
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_ADAPTIVE_LIMIT_H_
