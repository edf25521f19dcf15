#include "ibismux/dispatch/typical_latency.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

using std::chrono::milliseconds;

Test(typical_latency, finds_the_median_from_a_bad_first_guess) {
  TypicalLatency typical(milliseconds(100));
  for (int i = 0; i < 200; ++i) {
    typical.record(milliseconds(8));
  }
  cr_assert(typical.value() > milliseconds(7));
  cr_assert(typical.value() < milliseconds(9));
}

Test(typical_latency, calls_that_a_pause_caught_do_not_move_it) {
  TypicalLatency typical(milliseconds(8));
  for (int i = 0; i < 1000; ++i) {
    typical.record(i % 10 == 0 ? milliseconds(100) : milliseconds(7 + i % 3));
  }
  cr_assert(typical.value() < milliseconds(10));
}

Test(typical_latency, never_falls_to_nothing) {
  TypicalLatency typical(milliseconds(8));
  for (int i = 0; i < 1000; ++i) {
    typical.record(Duration::zero());
  }
  cr_assert(typical.value() > Duration::zero());
}

}  // namespace
}  // namespace ibismux::dispatch
