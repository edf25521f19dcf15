#include "ibismux/eventlog/line_allowance.h"

#include <criterion/criterion.h>

namespace ibismux::eventlog {
namespace {

using std::chrono::milliseconds;

Test(line_allowance, saves_the_lines_of_one_second_and_no_more) {
  const TimePoint start = Clock::now();
  LineAllowance allowance(10, start);
  int taken = 0;
  for (int i = 0; i < 100; ++i) {
    taken += allowance.take(start + std::chrono::hours(1)) ? 1 : 0;
  }
  cr_assert(taken == 10);
  cr_assert(allowance.take_turned_away() == 90);
  cr_assert(allowance.take_turned_away() == 0);
}

Test(line_allowance, fills_with_time) {
  const TimePoint start = Clock::now();
  LineAllowance allowance(10, start);
  while (allowance.take(start)) {
  }
  cr_assert(!allowance.take(start + milliseconds(50)));
  cr_assert(allowance.take(start + milliseconds(100)));
}

}  // namespace
}  // namespace ibismux::eventlog
