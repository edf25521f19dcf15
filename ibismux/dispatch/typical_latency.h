#ifndef IBISMUX_DISPATCH_TYPICAL_LATENCY_H_
#define IBISMUX_DISPATCH_TYPICAL_LATENCY_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// A running estimate of the median latency of one route's recent calls.
///
/// The median is used since a pause, or one slow leaf out of a dozen, must not
/// shift the value that every other call is compared with. The estimate moves
/// by a fixed fraction towards each sample, so it needs constant memory and
/// follows a change in load within some tens of calls.
///
/// The recent minimum of the median represents the latency of a call that does
/// not wait at its leaf. Comparing a latency with it shows the time spent in
/// the queues of leafs.
///
/// Not thread safe.
class TypicalLatency {
 public:
  /// @param initial The estimate before the first sample.
  explicit TypicalLatency(Duration initial) noexcept
      : median(initial), min_median(initial) {}

  void record(Duration latency, TimePoint now) noexcept {
    ++this->samples;
    const double step =
        this->samples <= kInitialSamples ? kInitialStep : kSteadyStep;
    this->median = scaled(this->median,
                          latency > this->median ? 1 + step : 1 / (1 + step));
    if (this->median < kMinMedian) {
      this->median = kMinMedian;
    }
    this->update_minimum(now);
  }

  [[nodiscard]] Duration value() const noexcept { return this->median; }

  /// The latency of a call while leafs have no queues.
  [[nodiscard]] Duration unloaded() const noexcept { return this->min_median; }

 private:
  void update_minimum(TimePoint now) noexcept {
    if (this->samples <= kInitialSamples) {
      this->min_median = this->median;
    } else {
      const double seconds = to_seconds(now - this->last_recorded_at);
      const double rise =
          std::exp2(std::max(0.0, seconds) / kMinimumDoublingSeconds);
      this->min_median = std::min(this->median, scaled(this->min_median, rise));
    }
    this->last_recorded_at = now;
  }

  // A lasting increase of the work per call is reflected after about a minute;
  // bursts of load last only seconds.
  static constexpr double kMinimumDoublingSeconds = 60;
  // 40 steps of 8% each reach the median from an initial value that is wrong by
  // a factor of ten.
  static constexpr std::uint32_t kInitialSamples = 40;
  static constexpr double kInitialStep = 0.08;
  static constexpr double kSteadyStep = 0.02;
  static constexpr Duration kMinMedian = std::chrono::microseconds(100);

  Duration median;
  Duration min_median;
  TimePoint last_recorded_at = TimePoint::min();
  std::uint32_t samples = 0;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_TYPICAL_LATENCY_H_
