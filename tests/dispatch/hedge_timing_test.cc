#include "ibismux/dispatch/hedge_timing.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

using std::chrono::milliseconds;

Test(hedge_timing, quick_calls_are_hedged_by_what_is_usual) {
  cr_assert(hedge_delay(milliseconds(8), milliseconds(62)) == milliseconds(20));
  cr_assert(hedge_delay(milliseconds(1), milliseconds(31)) == milliseconds(4));
}

Test(hedge_timing, a_second_answer_has_time_before_the_answer_is_due) {
  cr_assert(hedge_delay(milliseconds(40), milliseconds(156)) ==
            milliseconds(88));
}

// Guards against hedging half of all calls where calls are slow.
Test(hedge_timing, where_the_usual_is_slow_few_calls_are_sent_twice) {
  cr_assert(hedge_delay(milliseconds(55), milliseconds(156)) >=
            milliseconds(82));
  cr_assert(hedge_delay(milliseconds(150), milliseconds(156)) ==
            milliseconds(225));
}

}  // namespace
}  // namespace ibismux::dispatch
