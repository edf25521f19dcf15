#include "ibismux/base/moving_average.h"

#include <criterion/criterion.h>

#include "ibismux/base/zone_sizes.h"

namespace ibismux {
namespace {

using std::chrono::milliseconds;

Test(moving_average, is_zero_before_the_first_and_then_the_first) {
  MovingAverage average(16);
  cr_assert(average.value() == Duration::zero());
  average.add(milliseconds(32));
  cr_assert(average.value() == milliseconds(32));
}

Test(moving_average, moves_by_its_part_of_the_difference) {
  MovingAverage average(16);
  average.add(milliseconds(32));
  average.add(milliseconds(48));
  cr_assert(average.value() == milliseconds(33));
}

Test(zone_sizes, add_up) {
  cr_assert(total_of({}) == 0);
  cr_assert(total_of({{"z1", 23}, {"z2", 22}}) == 45);
}

Test(time, is_scaled_and_told_in_seconds) {
  cr_assert(scaled(milliseconds(40), 2.5) == milliseconds(100));
  cr_assert(to_seconds(milliseconds(1500)) == 1.5);
}

}  // namespace
}  // namespace ibismux
