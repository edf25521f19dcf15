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

Test(stall_detector, a_timely_tick_is_no_stall) {
  Fixture fixture;
  cr_assert(fixture.tick(milliseconds(500), milliseconds(500)) ==
            Duration::zero());
  cr_assert(fixture.tick(milliseconds(700), milliseconds(700)) ==
            Duration::zero());
}

Test(stall_detector, a_stopped_process_is_a_stall) {
  Fixture fixture;
  cr_assert(fixture.tick(seconds(3), seconds(3)) == milliseconds(2500));
}

// The steady clock doesn't count the time of a suspension.
Test(stall_detector, a_suspended_host_is_detected_by_the_boot_clock) {
  Fixture fixture;
  cr_assert(fixture.tick(milliseconds(500), seconds(9)) == milliseconds(8500));
}

}  // namespace
}  // namespace ibismux::edge
