#ifndef IBISMUX_ADMISSION_SLIDING_WINDOW_COUNTER_H_
#define IBISMUX_ADMISSION_SLIDING_WINDOW_COUNTER_H_

#include <array>
#include <cstdint>

#include "ibismux/admission/rate_meter.h"

namespace ibismux::admission {

/// Counts requests in buckets of 1/64 of the window, in fixed memory. A bucket
/// counts until its end has left the window, so the limit is never exceeded,
/// and at most 1/64 of it goes unused.
class SlidingWindowCounter final : public RateMeter {
 public:
  explicit SlidingWindowCounter(Duration window);

  [[nodiscard]] Duration wait(std::uint32_t limit, TimePoint now) override;
  void record(TimePoint now) override;
  [[nodiscard]] bool idle(TimePoint now) override;

 private:
  static constexpr std::int64_t kBucketCount = 64;
  /// One more than a window holds, because the oldest bucket may be partly in
  /// it.
  static constexpr std::int64_t kRingSize = kBucketCount + 1;

  [[nodiscard]] std::uint32_t& at(std::int64_t bucket) noexcept {
    // Bucket numbers can be negative near the clock's epoch.
    return this->counts[static_cast<std::size_t>(
        (bucket % kRingSize + kRingSize) % kRingSize)];
  }
  void advance(TimePoint now);

  Duration width;
  std::int64_t newest = 0;  ///< Number of the newest bucket in the ring.
  std::uint64_t total = 0;
  std::array<std::uint32_t, kRingSize> counts{};
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_SLIDING_WINDOW_COUNTER_H_
