#include "ibismux/platform/call_budget.h"

#include <algorithm>

namespace ibismux::platform {

namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

CallBudget::CallBudget(const CallRates& rates, TimePoint now) noexcept {
  for (std::size_t i = 0; i < kCallKinds; ++i) {
    this->buckets[i] = {rates[i], rates[i].burst, now};
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
      Seconds((1 - bucket.tokens) / bucket.rate.per_second));
}

void CallBudget::drain(CallKind kind, TimePoint now) noexcept {
  this->refilled(kind, now).tokens = 0;
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
  bucket.tokens =
      std::min(bucket.rate.burst,
               bucket.tokens + passed.count() * bucket.rate.per_second);
  bucket.filled_at = std::max(bucket.filled_at, now);
  return bucket;
}

}  // namespace ibismux::platform
