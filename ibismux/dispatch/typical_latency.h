#ifndef IBISMUX_DISPATCH_TYPICAL_LATENCY_H_
#define IBISMUX_DISPATCH_TYPICAL_LATENCY_H_

#include <cstdint>

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// The median of the latencies of one route's calls, of late.
///
/// A median, since a pause or one slow leaf of a dozen must not move what every
/// other call is measured by. It moves by a fixed share towards each sample, so
/// it costs one number and follows a changed load within some tens of calls.
///
/// Not thread safe.
class TypicalLatency {
 public:
  /// @param initial Taken until samples say otherwise.
  explicit TypicalLatency(Duration initial) noexcept : median(initial) {}

  void record(Duration latency) noexcept {
    ++this->samples;
    const double step =
        this->samples <= kFirstSamples ? kFirstStep : kLaterStep;
    this->median = std::chrono::duration_cast<Duration>(
        this->median * (latency > this->median ? 1 + step : 1 / (1 + step)));
    if (this->median < kLeast) {
      this->median = kLeast;
    }
  }

  [[nodiscard]] Duration value() const noexcept { return this->median; }

 private:
  // From a first guess that is off by a factor of ten, 40 steps of 8 in 100
  // lead to the median.
  static constexpr std::uint32_t kFirstSamples = 40;
  static constexpr double kFirstStep = 0.08;
  static constexpr double kLaterStep = 0.02;
  static constexpr Duration kLeast = std::chrono::microseconds(100);

  Duration median;
  std::uint32_t samples = 0;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_TYPICAL_LATENCY_H_
