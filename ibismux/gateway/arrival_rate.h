#ifndef IBISMUX_GATEWAY_ARRIVAL_RATE_H_
#define IBISMUX_GATEWAY_ARRIVAL_RATE_H_

#include <chrono>
#include <cmath>

#include "ibismux/base/time.h"

namespace ibismux::gateway {

/// How many events a second came recently: each counts for less as it ages.
///
/// Holds no clock. Not thread safe.
class ArrivalRate {
 public:
  void add(TimePoint now) noexcept {
    this->weight = this->decayed(now) + 1.0;
    this->last = now;
  }

  /// Events a second.
  [[nodiscard]] double per_second(TimePoint now) const noexcept {
    return this->decayed(now) / kMemorySeconds;
  }

 private:
  static constexpr double kMemorySeconds = 0.5;

  [[nodiscard]] double decayed(TimePoint now) const noexcept {
    const std::chrono::duration<double> age = now - this->last;
    return this->weight * std::exp(-age.count() / kMemorySeconds);
  }

  double weight = 0;
  TimePoint last{};
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_ARRIVAL_RATE_H_
