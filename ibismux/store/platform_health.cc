#include "ibismux/store/platform_health.h"

#include <algorithm>

namespace ibismux::store {

PlatformHealth::PlatformHealth(HealthSettings settings) noexcept
    : settings(settings), backoff(settings.first_backoff) {}

bool PlatformHealth::admit(TimePoint now, double jitter) noexcept {
  if (this->state() != PlatformState::kDown) {
    return true;
  }
  if (now < this->next_probe) {
    return false;
  }
  // The back-off grows with each probe, not with each failure: many calls that
  // were sent before the outage was noticed fail together, and would otherwise
  // push the next probe far out.
  this->backoff = std::min(this->backoff * 2, this->settings.longest_backoff);
  this->schedule_probe(now, jitter);
  return true;
}

void PlatformHealth::succeeded() noexcept {
  this->failures = 0;
  this->backoff = this->settings.first_backoff;
}

void PlatformHealth::failed(TimePoint now, double jitter) noexcept {
  ++this->failures;
  if (this->failures == this->settings.failures_to_down) {
    this->schedule_probe(now, jitter);
  }
}

PlatformState PlatformHealth::state() const noexcept {
  if (this->failures == 0) {
    return PlatformState::kUp;
  }
  return this->failures < this->settings.failures_to_down
             ? PlatformState::kFailing
             : PlatformState::kDown;
}

Duration PlatformHealth::retry_after(TimePoint now) const noexcept {
  return this->state() == PlatformState::kDown
             ? remaining(this->next_probe, now)
             : Duration::zero();
}

void PlatformHealth::schedule_probe(TimePoint now, double jitter) noexcept {
  const auto half = std::chrono::duration_cast<Duration>(this->backoff) / 2;
  this->next_probe =
      now + half +
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, Duration::period>(half) * jitter);
}

}  // namespace ibismux::store
