#include "ibismux/store/call_budget.h"

#include <algorithm>

namespace ibismux::store {

namespace {

using Seconds = std::chrono::duration<double>;

// Halving and slow recovery share a cap fairly among daemons that know nothing
// of each other (as in TCP's congestion avoidance).
constexpr double kDecrease = 0.5;
constexpr double kIncrease = 0.05;
constexpr double kLeastFactor = 0.1;

}  // namespace

CallBudget::CallBudget(const CallRates& rates, TimePoint now) noexcept {
  for (std::size_t i = 0; i < kCallKinds; ++i) {
    this->buckets[i] = {rates[i], 1, rates[i].burst, now};
  }
}

bool CallBudget::take(CallKind kind, TimePoint now) noexcept {
  Bucket& bucket = this->refilled(kind, now);
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

Duration CallBudget::until_next(CallKind kind, TimePoint now) noexcept {
  const Bucket& bucket = this->refilled(kind, now);
  if (bucket.tokens >= 1) {
    return Duration::zero();
  }
  if (bucket.rate.per_second <= 0) {
    return Duration::max();
  }
  return std::chrono::ceil<Duration>(
      Seconds((1 - bucket.tokens) / (bucket.rate.per_second * bucket.factor)));
}

void CallBudget::rate_limited(CallKind kind, TimePoint now) noexcept {
  Bucket& bucket = this->refilled(kind, now);
  bucket.tokens = 0;
  bucket.factor = std::max(kLeastFactor, bucket.factor * kDecrease);
}

void CallBudget::taken(CallKind kind, TimePoint now) noexcept {
  Bucket& bucket = this->refilled(kind, now);
  bucket.factor = std::min(1.0, bucket.factor + kIncrease);
}

void CallBudget::set_rates(const CallRates& rates, TimePoint now) noexcept {
  for (std::size_t i = 0; i < kCallKinds; ++i) {
    Bucket& bucket = this->refilled(static_cast<CallKind>(i), now);
    bucket.rate = rates[i];
    bucket.tokens = std::min(bucket.tokens, rates[i].burst);
  }
}

CallBudget::Bucket& CallBudget::refilled(CallKind kind,
                                         TimePoint now) noexcept {
  Bucket& bucket = this->buckets[static_cast<std::size_t>(kind)];
  const Seconds passed = remaining(now, bucket.filled_at);
  bucket.tokens = std::min(
      bucket.rate.burst,
      bucket.tokens + passed.count() * bucket.rate.per_second * bucket.factor);
  bucket.filled_at = std::max(bucket.filled_at, now);
  return bucket;
}

}  // namespace ibismux::store
