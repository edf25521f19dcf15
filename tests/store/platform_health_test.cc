#include "ibismux/store/platform_health.h"

#include <criterion/criterion.h>

namespace ibismux::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

PlatformHealth failed_times(std::size_t times) {
  PlatformHealth health{HealthSettings{}};
  for (std::size_t i = 0; i < times; ++i) {
    health.failed(kStart, 0.5);
  }
  return health;
}

Test(platform_health, few_failures_stop_nothing) {
  auto health = failed_times(2);
  cr_assert(health.state() == PlatformState::kFailing);
  cr_assert(health.admit(kStart, 0.5));
  health.succeeded();
  cr_assert(health.state() == PlatformState::kUp);
}

// Failure: every call waits out its timeout for as long as the outage lasts.
Test(platform_health, in_an_outage_only_one_probe_passes_a_backoff) {
  auto health = failed_times(3);
  cr_assert(health.state() == PlatformState::kDown);
  cr_assert(!health.admit(kStart, 0.5));
  cr_assert(health.retry_after(kStart) == milliseconds(75));
  const TimePoint probe = kStart + milliseconds(75);
  cr_assert(health.admit(probe, 0.5));
  cr_assert(!health.admit(probe, 0.5));
  cr_assert(health.retry_after(probe) == milliseconds(150));
}

Test(platform_health, the_backoff_grows_to_its_limit) {
  auto health = failed_times(3);
  TimePoint now = kStart;
  for (int i = 0; i < 20; ++i) {
    now += health.retry_after(now);
    cr_assert(health.admit(now, 0));
  }
  cr_assert(health.retry_after(now) == milliseconds(1000));
  cr_assert(health.admit(now + seconds(1), 0.999));
  cr_assert(health.retry_after(now + seconds(1)) < milliseconds(2000));
}

// Failure: after a short outage the daemon stays away for the longest back-off.
Test(platform_health, calls_that_fail_together_count_as_one) {
  auto health = failed_times(100);
  cr_assert(health.retry_after(kStart) == milliseconds(75));
}

Test(platform_health, one_success_ends_the_outage) {
  auto health = failed_times(3);
  health.succeeded();
  cr_assert(health.admit(kStart, 0.5));
  cr_assert(health.state() == PlatformState::kUp);
  health.failed(kStart, 0.5);
  health.failed(kStart, 0.5);
  health.failed(kStart, 0.5);
  cr_assert(health.retry_after(kStart) == milliseconds(75));
}

}  // namespace
}  // namespace ibismux::store
