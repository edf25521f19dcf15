#include "ibismux/customers/token_bucket.h"

#include <algorithm>

namespace ibismux::customers {

namespace {

using std::chrono::seconds;

// Longest time between two tokens, for rates near zero.
constexpr Duration kMaxInterval = seconds(60);
// Promises reach no further than this; callers don't wait longer either.
constexpr Duration kMaxPromise = seconds(2);

}  // namespace

TokenBucket::TokenBucket(Size size, TimePoint now)
    : size(size), created_at(now), refilled_at(now), promised_until(now) {}

double TokenBucket::level_at(TimePoint now) const {
  const TimePoint steady_at = this->created_at + this->size.start;
  const Duration starting =
      remaining(std::min(now, steady_at), this->refilled_at);
  const Duration steady =
      remaining(now, std::max(steady_at, this->refilled_at));
  const double earned = to_seconds(starting) * this->size.starting_per_second +
                        to_seconds(steady) * this->size.per_second;
  return std::min(this->size.capacity, this->level + earned);
}

void TokenBucket::refill(TimePoint now) {
  this->level = this->level_at(now);
  this->refilled_at = std::max(this->refilled_at, now);
}

bool TokenBucket::take(TimePoint now) {
  this->refill(now);
  if (this->level < 1) {
    return false;
  }
  this->level -= 1;
  return true;
}

Duration TokenBucket::time_to_earn(double tokens, TimePoint from) const {
  const double starting =
      to_seconds(remaining(this->created_at + this->size.start, from));
  const double at_start = tokens / this->size.starting_per_second;
  const double seconds_needed =
      at_start <= starting
          ? at_start
          : starting + (tokens - starting * this->size.starting_per_second) /
                           this->size.per_second;
  // Rounded up, so that there is a whole token then.
  return seconds_needed < to_seconds(kMaxInterval)
             ? std::chrono::ceil<std::chrono::microseconds>(
                   std::chrono::duration<double>(seconds_needed))
             : kMaxInterval;
}

Duration TokenBucket::promise_next(TimePoint now) {
  this->refill(now);
  const TimePoint next =
      now + this->time_to_earn(std::max(0.0, 1 - this->level), now);
  const TimePoint slot = std::max(
      next, this->promised_until + this->time_to_earn(1, this->promised_until));
  if (slot - now > kMaxPromise) {
    return std::max(next - now, kMaxPromise);
  }
  this->promised_until = slot;
  return slot - now;
}

void TokenBucket::resize(Size fresh, TimePoint now) {
  this->refill(now);
  this->size = fresh;
  this->level = std::min(this->level, fresh.capacity);
}

bool TokenBucket::is_full(TimePoint now) const {
  return this->level_at(now) >= this->size.capacity;
}

}  // namespace ibismux::customers
