#include "ibismux/dispatch/hedge_timing.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

using std::chrono::milliseconds;

Test(hedge_timing, the_delay_for_fast_calls_follows_the_median) {
  cr_assert(hedge_delay(milliseconds(8), milliseconds(62)) == milliseconds(20));
  cr_assert(hedge_delay(milliseconds(1), milliseconds(31)) == milliseconds(4));
}

Test(hedge_timing, the_second_answer_can_arrive_before_the_due_time) {
  cr_assert(hedge_delay(milliseconds(40), milliseconds(156)) ==
            milliseconds(88));
}

// Guards against hedging half of all calls when calls are generally slow.
Test(hedge_timing, few_slow_calls_are_sent_twice) {
  cr_assert(hedge_delay(milliseconds(55), milliseconds(156)) >=
            milliseconds(82));
  cr_assert(hedge_delay(milliseconds(150), milliseconds(156)) ==
            milliseconds(225));
}

}  // namespace
}  // namespace ibismux::dispatch
