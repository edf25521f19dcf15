#include "ibismux/admission/load_pool.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ibismux::admission {

namespace {

using std::chrono::milliseconds;

constexpr int kLatencyMemory = 16;
/// Refusals fade by half in this time.
constexpr std::chrono::duration<double> kRefusalHalfLife{0.5};
constexpr milliseconds kShortestWait{20};
constexpr milliseconds kLongestWait{5000};

/// Whether the end says how loaded the leafs are.
bool tells_load(std::optional<ErrorKind> error) noexcept {
  return !error.has_value() || *error == ErrorKind::kDeadlineExceeded ||
         *error == ErrorKind::kCoverageTooLow;
}

}  // namespace

Duration LoadPool::enter(Priority priority, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  const auto own = static_cast<std::size_t>(priority);
  const std::uint32_t before_it =
      std::accumulate(this->counts.begin(), this->counts.begin() + own + 1, 0U);
  if (before_it >= std::max(1.0, this->limit.limit())) {
    return this->wait(now);
  }
  ++this->counts[own];
  this->limit.on_admitted(
      std::accumulate(this->counts.begin(), this->counts.end(), 0U));
  return Duration::zero();
}

void LoadPool::leave(Priority priority) {
  const std::lock_guard lock(this->mutex);
  --this->counts[static_cast<std::size_t>(priority)];
}

void LoadPool::finish(Priority priority,
                      Duration latency,
                      std::optional<ErrorKind> error,
                      LatencyBaseline& baseline,
                      TimePoint now) {
  const std::lock_guard lock(this->mutex);
  --this->counts[static_cast<std::size_t>(priority)];
  if (error == ErrorKind::kOverloaded) {
    this->limit.on_overloaded(now);
  } else if (tells_load(error)) {
    this->usual_latency += (latency - this->usual_latency) / kLatencyMemory;
    this->limit.on_finished(baseline.stretch(latency, now), latency, now);
  }
}

double LoadPool::current_limit() {
  const std::lock_guard lock(this->mutex);
  return this->limit.limit();
}

std::uint32_t LoadPool::in_flight() {
  const std::lock_guard lock(this->mutex);
  return std::accumulate(this->counts.begin(), this->counts.end(), 0U);
}

Duration LoadPool::wait(TimePoint now) noexcept {
  const std::chrono::duration<double> age =
      std::max(Duration::zero(), now - this->refused_at);
  this->refused = this->refused * std::exp2(-age / kRefusalHalfLife) + 1;
  this->refused_at = now;
  // The slots turn over once in the usual latency; those refused before take
  // their turn first.
  const double turns = 1 + this->refused / std::max(1.0, this->limit.limit());
  const Duration wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->usual_latency) * turns);
  return std::clamp<Duration>(wait, kShortestWait, kLongestWait);
}

}  // namespace ibismux::admission
