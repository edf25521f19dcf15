#include "ibismux/admission/sliding_window_counter.h"

#include <algorithm>

#include "ibismux/admission/sliding_window_log.h"

namespace ibismux::admission {

SlidingWindowCounter::SlidingWindowCounter(Duration window)
    // Rounded up, because narrower buckets would together cover less than the
    // window and drop requests too early.
    : width(std::max<Duration>(
          Duration(1),
          (window + Duration(kBucketCount - 1)) / kBucketCount)) {}

Duration SlidingWindowCounter::wait(std::uint32_t limit, TimePoint now) {
  this->advance(now);
  if (limit == 0) {
    return this->width * kBucketCount;
  }
  if (this->total < limit) {
    return Duration::zero();
  }
  std::uint64_t remaining = this->total;
  std::int64_t bucket = this->newest - kBucketCount;
  for (; bucket < this->newest; ++bucket) {
    remaining -= this->at(bucket);
    if (remaining < limit) {
      break;
    }
  }
  // The bucket leaves the ring when the bucket that reuses its place begins.
  const Duration expiry = (bucket + kRingSize) * this->width;
  return std::max(Duration(1), expiry - now.time_since_epoch());
}

void SlidingWindowCounter::record(TimePoint now) {
  this->advance(now);
  ++this->at(this->newest);
  ++this->total;
}

bool SlidingWindowCounter::idle(TimePoint now) {
  this->advance(now);
  return this->total == 0;
}

void SlidingWindowCounter::advance(TimePoint now) {
  const std::int64_t current = now.time_since_epoch() / this->width;
  const std::int64_t steps = std::min(current - this->newest, kRingSize);
  for (std::int64_t i = 0; i < steps; ++i) {
    std::uint32_t& oldest = this->at(current - i);
    this->total -= oldest;
    oldest = 0;
  }
  this->newest = std::max(this->newest, current);
}

std::unique_ptr<RateMeter> make_rate_meter(std::uint32_t limit,
                                           Duration window) {
  if (limit <= kLargestExactLimit) {
    return std::make_unique<SlidingWindowLog>(window);
  }
  return std::make_unique<SlidingWindowCounter>(window);
}

}  // namespace ibismux::admission
