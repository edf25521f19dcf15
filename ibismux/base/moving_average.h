#ifndef IBISMUX_BASE_MOVING_AVERAGE_H_
#define IBISMUX_BASE_MOVING_AVERAGE_H_

#include "ibismux/base/time.h"

namespace ibismux {

/// The mean of times, in which each new one weighs a fixed part and the first
/// is taken whole.
///
///     MovingAverage work(16);
///     work.add(took);
///
/// Not thread safe.
class MovingAverage {
 public:
  /// @param over One in how many a new time weighs; at least 1.
  explicit constexpr MovingAverage(int over) noexcept : over(over) {}

  void add(Duration time) noexcept {
    this->mean = this->mean == Duration::zero()
                     ? time
                     : this->mean + (time - this->mean) / this->over;
  }

  /// Zero before the first.
  [[nodiscard]] Duration value() const noexcept { return this->mean; }

 private:
  int over;
  Duration mean{0};
};

}  // namespace ibismux

#endif  // IBISMUX_BASE_MOVING_AVERAGE_H_
