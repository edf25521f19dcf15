#include "ibismux/dispatch/leaf_cost.h"

#include <criterion/criterion.h>

#include "ibismux/dispatch/dispatch_settings.h"

namespace ibismux::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTypical{30};
constexpr milliseconds kObjective{200};

Duration cost(const LeafCostFactors& leaf) {
  return leaf_cost(leaf, kTypical, kObjective, DispatchSettings{}.remote_cost);
}

Test(leaf_cost, an_idle_leaf_in_the_same_zone_costs_the_typical_latency) {
  cr_assert(cost({}) == kTypical);
}

// Load pattern: a fleet over four zones, 25% of the slots of each leaf in use,
// varying latencies.
Test(leaf_cost, a_leaf_under_normal_load_keeps_the_calls_of_its_zone) {
  const LeafCostFactors own{.ratio = 1.4, .active_calls = 1, .slots = 4};
  cr_assert(cost(own) < cost({.remote = true}));
}

Test(leaf_cost, a_slow_leaf_loses_the_calls_of_its_zone) {
  const LeafCostFactors own{.ratio = 2.5};
  cr_assert(cost(own) > cost({.remote = true}));
}

Test(leaf_cost, a_fully_loaded_leaf_loses_the_calls_of_its_zone) {
  const LeafCostFactors own{.ratio = 1.3, .active_calls = 3, .slots = 4};
  cr_assert(cost(own) > cost({.remote = true}));
}

Test(leaf_cost, a_leaf_that_fails_costs_more_than_any_that_answers_in_time) {
  cr_assert(cost({.failure_share = 1}) > kObjective);
}

Test(leaf_cost, a_leaf_without_links_is_a_last_resort) {
  cr_assert(cost({.keeps_links = false, .has_idle_link = false}) >
            cost({.active_calls = 1, .slots = 2}));
}

}  // namespace
}  // namespace ibismux::dispatch
