#include "ibismux/edge/stall_detector.h"

#include <criterion/criterion.h>

namespace ibismux::edge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  TimePoint now = Clock::now();
  StallDetector::BootTime boot{seconds(100)};
  StallDetector stalls{milliseconds(500), this->now, this->boot};

  Duration tick(Duration steady, Duration boot) {
    this->now += steady;
    this->boot += boot;
    return this->stalls.tick(this->now, this->boot);
  }
};

Test(stall_detector, a_tick_in_time_is_no_stall) {
  Fixture fixture;
  cr_assert(fixture.tick(milliseconds(500), milliseconds(500)) ==
            Duration::zero());
  cr_assert(fixture.tick(milliseconds(700), milliseconds(700)) ==
            Duration::zero());
}

Test(stall_detector, a_process_that_was_stopped_is_late) {
  Fixture fixture;
  cr_assert(fixture.tick(seconds(3), seconds(3)) == milliseconds(2500));
}

// A suspended host: the steady clock doesn't count the time.
Test(stall_detector, a_host_that_was_suspended_shows_by_its_other_clock) {
  Fixture fixture;
  cr_assert(fixture.tick(milliseconds(500), seconds(9)) == milliseconds(8500));
}

}  // namespace
}  // namespace ibismux::edge
