#ifndef IBISMUX_ADMISSION_ADAPTIVE_LIMIT_H_
#define IBISMUX_ADMISSION_ADAPTIVE_LIMIT_H_

#include <cstdint>

#include "ibismux/base/time.h"

namespace ibismux::admission {

/// Adaptive concurrency limit on the requests to a group of services that share
/// leafs. It is adjusted by how long their calls wait for the leafs.
///
/// Not thread safe.
class AdaptiveLimit {
 public:
  explicit AdaptiveLimit(double initial) : value(initial) {}

  [[nodiscard]] double limit() const noexcept { return this->value; }

  /// Records that a request was admitted. @param in_flight Includes it.
  void on_admitted(std::uint32_t in_flight) noexcept;

  /// Records that a request was refused because the limit was reached.
  void on_refused() noexcept;

  /// Records that a request ended.
  /// @param stretch Waiting plus working time of its calls divided by their
  /// working time; 1 if none waited.
  /// @param in_flight Excludes the request.
  void on_finished(double stretch,
                   Duration latency,
                   std::uint32_t in_flight,
                   TimePoint now) noexcept;

  /// Records that a request failed because leafs were overloaded.
  void on_overloaded(std::uint32_t in_flight, TimePoint now) noexcept;

 private:
  void close_window(std::uint32_t in_flight, TimePoint now) noexcept;

  double value;
  bool refused = false;  ///< A request was refused since the last increase.
  TimePoint window_start{};
  std::uint32_t finished = 0;
  /// Finished requests with a stretch over the tolerance.
  std::uint32_t over_tolerance = 0;
  std::uint32_t overloaded = 0;
  double stretch_sum = 0;
  Duration latency_sum{};
  /// Highest number of requests in flight in this window.
  std::uint32_t peak_in_flight = 0;
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_ADAPTIVE_LIMIT_H_
