#include "ibismux/admission/load_pool.h"

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
constexpr milliseconds kShortestWait{20};
constexpr milliseconds kLongestWait{5000};

/// A failed request counts as slow if it took more than this multiple of the
/// mean latency.
constexpr double kSlowFailure = 2.0;

/// Whether a request that failed with `error` may have waited for the leafs.
bool may_be_slow(ErrorKind error) noexcept {
  return error == ErrorKind::kDeadlineExceeded ||
         error == ErrorKind::kCoverageTooLow;
}

}  // namespace

LoadPool::LoadPool(double initial_limit)
    : classes{Class{AdaptiveLimit(initial_limit)},
              Class{AdaptiveLimit(initial_limit)},
              Class{AdaptiveLimit(initial_limit)},
              Class{AdaptiveLimit(initial_limit)}} {
  static_assert(kPriorities == 4);
}

Duration LoadPool::enter(Priority priority, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  Class& own = this->at(priority);
  const std::uint32_t in_flight = this->in_flight_up_to(priority);
  if (in_flight >= own.limit.limit()) {
    own.limit.on_refused();
    return this->wait(own, now);
  }
  ++own.in_flight;
  own.limit.on_admitted(in_flight + 1);
  return Duration::zero();
}

void LoadPool::leave(Priority priority) {
  const std::lock_guard lock(this->mutex);
  --this->at(priority).in_flight;
}

void LoadPool::finish(Priority priority,
                      Duration latency,
                      const RequestEnd& end,
                      TimePoint now) {
  const std::lock_guard lock(this->mutex);
  Class& own = this->at(priority);
  --own.in_flight;
  const std::uint32_t left = this->in_flight_up_to(priority);
  if (end.error == ErrorKind::kOverloaded) {
    own.limit.on_overloaded(left, now);
  } else if (end.error.has_value()) {
    const double stretch = stretch_of(own, latency);
    if (may_be_slow(*end.error) && stretch > kSlowFailure) {
      // A quick failure tells nothing about the load. If it were counted as a
      // success, it would raise the limit while leafs are down.
      own.limit.on_finished(stretch, latency, left, now);
    }
  } else if (const auto stretch = end.leaf_wait.stretch()) {
    own.usual_latency += own.usual_latency > Duration::zero()
                             ? (latency - own.usual_latency) / kLatencySamples
                             : latency;
    own.limit.on_finished(*stretch, latency, left, now);
  }
}

double LoadPool::stretch_of(const Class& own, Duration latency) noexcept {
  return own.usual_latency <= Duration::zero()
             ? 1
             : static_cast<double>(latency.count()) /
                   static_cast<double>(own.usual_latency.count());
}

double LoadPool::current_limit(Priority priority) {
  const std::lock_guard lock(this->mutex);
  return this->at(priority).limit.limit();
}

std::uint32_t LoadPool::in_flight() {
  const std::lock_guard lock(this->mutex);
  return this->in_flight_up_to(static_cast<Priority>(kPriorities - 1));
}

std::uint32_t LoadPool::in_flight_up_to(Priority priority) const noexcept {
  std::uint32_t count = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i) {
    count += this->classes[i].in_flight;
  }
  return count;
}

Duration LoadPool::wait(Class& own, TimePoint now) noexcept {
  const std::chrono::duration<double> age =
      std::max(Duration::zero(), now - own.refused_at);
  own.refused = own.refused * std::exp2(-age / kRefusalHalfLife) + 1;
  own.refused_at = now;
  // All slots become free once within about the mean latency; requests refused
  // earlier are expected to retry first.
  const double turns = 1 + own.refused / own.limit.limit();
  const Duration wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(own.usual_latency) * turns);
  return std::clamp<Duration>(wait, kShortestWait, kLongestWait);
}

}  // namespace ibismux::admission
