#include "ibismux/routing/weighted_round_robin.h"

#include <criterion/criterion.h>

#include <cmath>
#include <map>

namespace ibismux::routing {
namespace {

using Split = std::vector<WeightedService>;

std::map<std::string, int> count_choices(WeightedRoundRobin& rotation,
                                         const Split& split,
                                         int requests) {
  std::map<std::string, int> counts;
  for (int i = 0; i < requests; ++i) {
    ++counts[rotation.next(split)];
  }
  return counts;
}

Test(weighted_round_robin, every_ten_requests_follow_the_weights) {
  WeightedRoundRobin rotation;
  const Split split = {{"old", 0.7}, {"new", 0.3}};
  for (int run = 0; run < 20; ++run) {
    const auto counts = count_choices(rotation, split, 10);
    cr_assert(std::abs(counts.at("old") - 7) <= 1);
  }
}

Test(weighted_round_robin, one_service_gets_all) {
  WeightedRoundRobin rotation;
  cr_assert(count_choices(rotation, {{"desk", 1}}, 5).at("desk") == 5);
}

Test(weighted_round_robin, a_weight_of_zero_gets_nothing) {
  WeightedRoundRobin rotation;
  const auto counts = count_choices(rotation, {{"old", 1}, {"new", 0}}, 50);
  cr_assert(!counts.contains("new"));
}

Test(weighted_round_robin, a_changed_split_starts_a_new_rotation) {
  WeightedRoundRobin rotation;
  count_choices(rotation, {{"old", 0.5}, {"new", 0.5}}, 1);
  const auto counts = count_choices(rotation, {{"old", 0.1}, {"new", 0.9}}, 10);
  cr_assert(counts.at("new") == 9);
}

}  // namespace
}  // namespace ibismux::routing
