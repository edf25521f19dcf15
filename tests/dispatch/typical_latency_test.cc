#include "ibismux/dispatch/typical_latency.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

using std::chrono::milliseconds;

Test(typical_latency, reaches_the_median_from_a_wrong_initial_value) {
  TypicalLatency typical(milliseconds(100));
  for (int i = 0; i < 200; ++i) {
    typical.record(milliseconds(8), TimePoint());
  }
  cr_assert(typical.value() > milliseconds(7));
  cr_assert(typical.value() < milliseconds(9));
}

Test(typical_latency, calls_delayed_by_a_pause_do_not_shift_it) {
  TypicalLatency typical(milliseconds(8));
  for (int i = 0; i < 1000; ++i) {
    typical.record(i % 10 == 0 ? milliseconds(100) : milliseconds(7 + i % 3),
                   TimePoint());
  }
  cr_assert(typical.value() < milliseconds(10));
}

Test(typical_latency, never_falls_to_zero) {
  TypicalLatency typical(milliseconds(8));
  for (int i = 0; i < 1000; ++i) {
    typical.record(Duration::zero(), TimePoint());
  }
  cr_assert(typical.value() > Duration::zero());
}

/// Records calls of `latency`, one every 10 ms for `span`.
void record(TypicalLatency& typical,
            milliseconds latency,
            std::chrono::seconds span,
            TimePoint& now) {
  for (const TimePoint end = now + span; now < end; now += milliseconds(10)) {
    typical.record(latency, now);
  }
}

Test(typical_latency, a_burst_of_load_does_not_change_the_unloaded_latency) {
  TypicalLatency typical(milliseconds(8));
  TimePoint now = Clock::now();
  record(typical, milliseconds(8), std::chrono::seconds(5), now);
  record(typical, milliseconds(40), std::chrono::seconds(10), now);
  cr_assert(typical.value() > milliseconds(35));
  cr_assert(typical.unloaded() < milliseconds(10));
}

Test(typical_latency, the_unloaded_latency_follows_a_lasting_change) {
  TypicalLatency typical(milliseconds(8));
  TimePoint now = Clock::now();
  record(typical, milliseconds(8), std::chrono::seconds(5), now);
  record(typical, milliseconds(20), std::chrono::seconds(120), now);
  cr_assert(typical.unloaded() > milliseconds(18));
}

}  // namespace
}  // namespace ibismux::dispatch
