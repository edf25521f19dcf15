#ifndef IBISMUX_DISPATCH_TYPICAL_LATENCY_H_
#define IBISMUX_DISPATCH_TYPICAL_LATENCY_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// The median latency of one route's recent calls.
///
/// A median, since a pause or one slow leaf of a dozen must not move what every
/// other call is measured by. It moves by a fixed share towards each sample, so
/// it costs one number and follows a changed load within some tens of calls.
///
/// The recent minimum of the median stands for a call that doesn't wait at its
/// leaf: against it the time that leafs' queues add can be told.
///
/// Not thread safe.
class TypicalLatency {
 public:
  /// @param initial Taken until samples say otherwise.
  explicit TypicalLatency(Duration initial) noexcept
      : median(initial), lowest(initial) {}

  void record(Duration latency, TimePoint now) noexcept {
    ++this->samples;
    const double step =
        this->samples <= kFirstSamples ? kFirstStep : kLaterStep;
    this->median = scaled(this->median,
                          latency > this->median ? 1 + step : 1 / (1 + step));
    if (this->median < kLeast) {
      this->median = kLeast;
    }
    this->follow(now);
  }

  [[nodiscard]] Duration value() const noexcept { return this->median; }

  /// What a call takes while leafs have no queues.
  [[nodiscard]] Duration unloaded() const noexcept { return this->lowest; }

 private:
  void follow(TimePoint now) noexcept {
    if (this->samples <= kFirstSamples) {
      this->lowest = this->median;
    } else {
      const double seconds = to_seconds(now - this->last);
      const double rise =
          std::exp2(std::max(0.0, seconds) / kDoubledAfterSeconds);
      this->lowest = std::min(this->median, scaled(this->lowest, rise));
    }
    this->last = now;
  }

  // Work that has become heavier for good is believed after about a minute;
  // bursts of load last seconds.
  static constexpr double kDoubledAfterSeconds = 60;
  // From a first guess that is off by a factor of ten, 40 steps of 8 in 100
  // lead to the median.
  static constexpr std::uint32_t kFirstSamples = 40;
  static constexpr double kFirstStep = 0.08;
  static constexpr double kLaterStep = 0.02;
  static constexpr Duration kLeast = std::chrono::microseconds(100);

  Duration median;
  Duration lowest;
  TimePoint last = TimePoint::min();
  std::uint32_t samples = 0;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_TYPICAL_LATENCY_H_
