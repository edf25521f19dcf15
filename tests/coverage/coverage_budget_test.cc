// Loads of queries that need nearly all shards, without a network.

#include "ibismux/coverage/coverage_budget.h"

#include <criterion/criterion.h>

namespace ibismux::coverage::testing {
namespace {

Test(coverage_budget, lost_shards_use_up_what_may_be_left_out) {
  const CoverageBudget budget(36, 35);
  cr_assert(budget.spare(0) == 1);
  cr_assert(budget.spare(1) == 0);
  cr_assert(budget.is_reachable(1));
  cr_assert(!budget.is_reachable(2));
}

// The load: one shard of 36 without a leaf, 0.95 of them demanded. Each of the
// other 35 must answer.
Test(coverage_budget, without_a_spare_shard_each_part_is_urgent) {
  const PartUrgency urgency = CoverageBudget(36, 35).urgency(1);
  cr_assert(urgency.hedge_delay_factor < 1);
  cr_assert(urgency.max_open_calls > 2);
  cr_assert(urgency.fastest_repeat);
}

// Guards against more load from queries that need nothing of the kind.
Test(coverage_budget, with_a_shard_to_spare_nothing_is_urgent) {
  cr_assert(CoverageBudget(36, 35).urgency(0) == PartUrgency());
  cr_assert(CoverageBudget(10, 9).urgency(0) == PartUrgency());
  cr_assert(CoverageBudget(36, 27).urgency(8) == PartUrgency());
  cr_assert(CoverageBudget(36, 27).urgency(9) != PartUrgency());
}

Test(coverage_budget, a_coverage_that_cannot_be_reached_spends_nothing_more) {
  cr_assert(CoverageBudget(36, 35).urgency(2) == PartUrgency());
}

Test(coverage_budget, queries_over_a_few_shards_are_as_before) {
  cr_assert(CoverageBudget(3, 3).urgency(0) == PartUrgency());
}

}  // namespace
}  // namespace ibismux::coverage::testing
