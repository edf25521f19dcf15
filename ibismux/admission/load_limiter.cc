#include "ibismux/admission/load_limiter.h"

#include <algorithm>
#include <cmath>

#include "ibismux/admission/request_end.h"

namespace ibismux::admission {

namespace {

using std::chrono::milliseconds;

/// Weight of the newest latency in the moving average, as 1 in this many.
constexpr int kLatencySamples = 16;
/// Half-life of the decaying count of refusals.
constexpr std::chrono::duration<double> kRefusalHalfLife{0.5};
constexpr milliseconds kMinRetryWait{20};
constexpr milliseconds kMaxRetryWait{5000};

/// A failed request counts as slow if it took more than this multiple of the
/// mean latency.
constexpr double kSlowFailureStretch = 2.0;

/// Whether a request that failed with `error` may have waited for the leafs.
bool may_be_slow(ErrorKind error) noexcept {
  return error == ErrorKind::kDeadlineExceeded ||
         error == ErrorKind::kCoverageTooLow;
}

}  // namespace

LoadLimiter::LoadLimiter(double initial_limit)
    : classes{PriorityClass{AdaptiveLimit(initial_limit)},
              PriorityClass{AdaptiveLimit(initial_limit)},
              PriorityClass{AdaptiveLimit(initial_limit)},
              PriorityClass{AdaptiveLimit(initial_limit)}} {
  static_assert(kPriorities == 4);
}

Duration LoadLimiter::try_acquire(Priority priority, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  PriorityClass& priority_class = this->at(priority);
  const std::uint32_t in_flight = this->in_flight_up_to(priority);
  if (in_flight >= priority_class.limit.limit()) {
    priority_class.limit.on_refused();
    return this->retry_wait(priority_class, now);
  }
  ++priority_class.in_flight;
  priority_class.limit.on_admitted(in_flight + 1);
  return Duration::zero();
}

void LoadLimiter::release_unused(Priority priority) {
  const std::lock_guard lock(this->mutex);
  --this->at(priority).in_flight;
}

void LoadLimiter::finish(Priority priority,
                         Duration latency,
                         const RequestEnd& end,
                         TimePoint now) {
  const std::lock_guard lock(this->mutex);
  PriorityClass& priority_class = this->at(priority);
  --priority_class.in_flight;
  const std::uint32_t remaining = this->in_flight_up_to(priority);
  if (end.error == ErrorKind::kOverloaded) {
    priority_class.limit.on_overloaded(remaining, now);
  } else if (end.error.has_value()) {
    const double stretch = stretch_of(priority_class, latency);
    if (may_be_slow(*end.error) && stretch > kSlowFailureStretch) {
      // A quick failure tells nothing about the load. If it were counted as a
      // success, it would raise the limit while leafs are down.
      priority_class.limit.on_finished(stretch, latency, remaining, now);
    }
  } else if (const auto stretch = end.leaf_wait.stretch()) {
    priority_class.mean_latency +=
        priority_class.mean_latency > Duration::zero()
            ? (latency - priority_class.mean_latency) / kLatencySamples
            : latency;
    priority_class.limit.on_finished(*stretch, latency, remaining, now);
  }
}

double LoadLimiter::stretch_of(const PriorityClass& priority_class,
                               Duration latency) noexcept {
  return priority_class.mean_latency <= Duration::zero()
             ? 1
             : static_cast<double>(latency.count()) /
                   static_cast<double>(priority_class.mean_latency.count());
}

double LoadLimiter::current_limit(Priority priority) {
  const std::lock_guard lock(this->mutex);
  return this->at(priority).limit.limit();
}

std::uint32_t LoadLimiter::in_flight() {
  const std::lock_guard lock(this->mutex);
  return this->in_flight_up_to(static_cast<Priority>(kPriorities - 1));
}

std::uint32_t LoadLimiter::in_flight_up_to(Priority priority) const noexcept {
  std::uint32_t count = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i) {
    count += this->classes[i].in_flight;
  }
  return count;
}

Duration LoadLimiter::retry_wait(PriorityClass& priority_class,
                                 TimePoint now) noexcept {
  const std::chrono::duration<double> age =
      std::max(Duration::zero(), now - priority_class.last_refusal);
  priority_class.recent_refusals =
      priority_class.recent_refusals * std::exp2(-age / kRefusalHalfLife) + 1;
  priority_class.last_refusal = now;
  // All slots become free once within about the mean latency; requests refused
  // earlier are expected to retry first.
  const double turns =
      1 + priority_class.recent_refusals / priority_class.limit.limit();
  const Duration wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(priority_class.mean_latency) * turns);
  return std::clamp<Duration>(wait, kMinRetryWait, kMaxRetryWait);
}

}  // namespace ibismux::admission
