#include "ibismux/dispatch/canary_timing.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

using std::chrono::milliseconds;

Test(canary_timing, a_wide_margin_leaves_time) {
  cr_assert(leaves_time_for_canary(milliseconds(10), milliseconds(25),
                                   milliseconds(78)));
}

// Guards against answers that are late because of the canary alone.
Test(canary_timing, queries_that_take_most_of_their_objective_have_no_canary) {
  cr_assert(!leaves_time_for_canary(milliseconds(10), milliseconds(60),
                                    milliseconds(78)));
  cr_assert(!leaves_time_for_canary(milliseconds(4), milliseconds(38),
                                    milliseconds(38)));
}

}  // namespace
}  // namespace ibismux::dispatch
