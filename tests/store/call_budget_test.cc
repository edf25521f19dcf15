#include "ibismux/store/call_budget.h"

#include <criterion/criterion.h>

#include "ibismux/store/fleet_budget.h"

namespace ibismux::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr CallRates kRates = {{{10, 2}, {1, 1}, {0, 1}}};

Test(call_budget, a_burst_goes_at_once_and_then_the_rate_holds) {
  CallBudget budget(kRates, kStart);
  cr_assert(budget.take(CallKind::kRead, kStart));
  cr_assert(budget.take(CallKind::kRead, kStart));
  cr_assert(!budget.take(CallKind::kRead, kStart));
  cr_assert(budget.until_next(CallKind::kRead, kStart) == milliseconds(100));
  cr_assert(!budget.take(CallKind::kRead, kStart + milliseconds(99)));
  cr_assert(budget.take(CallKind::kRead, kStart + milliseconds(100)));
}

Test(call_budget, kinds_have_budgets_of_their_own) {
  CallBudget budget(kRates, kStart);
  cr_assert(budget.take(CallKind::kWrite, kStart));
  cr_assert(!budget.take(CallKind::kWrite, kStart));
  cr_assert(budget.take(CallKind::kRead, kStart));
}

Test(call_budget, saved_calls_never_pass_the_burst) {
  CallBudget budget(kRates, kStart);
  const TimePoint later = kStart + seconds(3600);
  cr_assert(budget.take(CallKind::kRead, later));
  cr_assert(budget.take(CallKind::kRead, later));
  cr_assert(!budget.take(CallKind::kRead, later));
}

Test(call_budget, a_rate_of_zero_never_refills) {
  CallBudget budget(kRates, kStart);
  cr_assert(budget.take(CallKind::kWatch, kStart));
  cr_assert(!budget.take(CallKind::kWatch, kStart + seconds(3600)));
  cr_assert(budget.until_next(CallKind::kWatch, kStart + seconds(3600)) ==
            Duration::max());
}

Test(call_budget,
     the_platforms_own_cap_empties_the_bucket_and_halves_the_rate) {
  CallBudget budget(kRates, kStart);
  budget.rate_limited(CallKind::kRead, kStart);
  cr_assert(budget.until_next(CallKind::kRead, kStart) == milliseconds(200));
  for (int i = 0; i < 10; ++i) {
    budget.taken(CallKind::kRead, kStart);
  }
  cr_assert(budget.until_next(CallKind::kRead, kStart) == milliseconds(100));
}

Test(call_budget, the_rate_never_falls_below_a_tenth) {
  CallBudget budget(kRates, kStart);
  for (int i = 0; i < 100; ++i) {
    budget.rate_limited(CallKind::kRead, kStart);
  }
  cr_assert(budget.until_next(CallKind::kRead, kStart) == seconds(1));
}

Test(call_budget, new_rates_cut_what_was_saved) {
  CallBudget budget(kRates, kStart);
  budget.set_rates({{{1, 1}, {1, 1}, {1, 1}}}, kStart);
  cr_assert(budget.take(CallKind::kRead, kStart));
  cr_assert(!budget.take(CallKind::kRead, kStart + milliseconds(100)));
}

Test(fleet_budget, a_share_shrinks_with_the_fleet_down_to_its_floor) {
  const FleetBudget fleet;
  const auto small = share_of(fleet, 7);
  const auto large = share_of(fleet, 2400);
  cr_assert(small[0].per_second == 50);
  cr_assert(large[0].per_second == 1000.0 * 4 / 2400);
  cr_assert(large[1].per_second == fleet.least_per_second[1]);
  cr_assert(share_of(fleet, 0)[0].per_second == 50);
}

}  // namespace
}  // namespace ibismux::store
