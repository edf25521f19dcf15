// The load of a fleet whose hosts have all just started, without a network:
// which requests wait, which are refused, and when refused callers return.

#include "ibismux/startup/start_gate.h"

#include <criterion/criterion.h>

namespace ibismux::startup::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  TimePoint started = Clock::now();
  StartGate gate{{.max_waiting = 2, .max_waiting_bytes = 100}, started};

  /// A request that arrives `after` the start and can wait for `room`.
  StartGate::Decision decide(Need need,
                             milliseconds after,
                             milliseconds room,
                             std::size_t bytes = 0) {
    const TimePoint now = this->started + after;
    return this->gate.decide(need, now + room, bytes, now);
  }
};

Test(start_gate, a_request_with_time_waits_for_what_is_on_its_way) {
  Fixture fixture;
  const auto decision =
      fixture.decide(Need::kConfiguration, milliseconds(150), milliseconds(90));
  cr_assert(decision.wait_until);
  cr_assert(*decision.wait_until <= fixture.started + milliseconds(240));
}

// Guards against callers that come back while the daemon still lacks the same.
Test(start_gate, others_are_refused_at_once_until_the_daemon_is_ready) {
  Fixture fixture;
  const auto decision =
      fixture.decide(Need::kRateOwners, milliseconds(100), milliseconds(90));
  cr_assert(!decision.wait_until);
  cr_assert(decision.retry_after >= milliseconds(250));  // 350 after the start.
}

Test(start_gate, waiting_requests_are_bounded_in_number_and_bytes) {
  Fixture fixture;
  const auto decide = [&fixture](std::size_t bytes) {
    return fixture
        .decide(Need::kConfiguration, milliseconds(150), milliseconds(90),
                bytes)
        .wait_until.has_value();
  };
  cr_assert(decide(60));
  cr_assert(!decide(60));
  cr_assert(decide(40));
  cr_assert(!decide(0));
  fixture.gate.release(60);
  cr_assert(decide(0));
}

Test(start_gate, a_daemon_that_has_run_for_long_holds_nothing) {
  Fixture fixture;
  const auto decision =
      fixture.decide(Need::kRateOwners, seconds(10), seconds(1));
  cr_assert(!decision.wait_until);
  cr_assert(decision.retry_after == milliseconds(50));
}

}  // namespace
}  // namespace ibismux::startup::testing
