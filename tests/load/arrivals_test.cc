#include "apps/ibismux-load/arrivals.h"

#include <cmath>
#include <vector>

#include <criterion/criterion.h>

using ibismux::load::Arrival;
using ibismux::load::Arrivals;
using ibismux::load::Experiment;

namespace {

constexpr std::uint64_t kSeed = 7;

Experiment two_services() {
  Experiment experiment;
  experiment.services.resize(2);
  experiment.services[0].group = "bays";
  experiment.services[0].rate = 300;
  experiment.services[1].group = "editors";
  experiment.services[1].rate = 100;
  experiment.phases.resize(2);
  experiment.phases[0].length = std::chrono::seconds(20);
  experiment.phases[1].length = std::chrono::seconds(20);
  experiment.phases[1].factor = 2;
  experiment.phases[1].groups["editors"] = 0;
  return experiment;
}

struct Counts {
  double bays = 0;
  double editors = 0;
};

/// Arrivals from `from` on, before `to`.
Counts count(const std::vector<Arrival>& arrivals,
             std::chrono::seconds from,
             std::chrono::seconds to) {
  Counts counts;
  for (const Arrival& one : arrivals) {
    if (one.at >= from && one.at < to) {
      ++(one.service == 0 ? counts.bays : counts.editors);
    }
  }
  return counts;
}

std::vector<Arrival> all(const Experiment& experiment,
                         double share,
                         std::uint64_t seed = kSeed) {
  Arrivals arrivals(experiment, share, seed);
  std::vector<Arrival> list;
  while (const auto arrival = arrivals.next()) {
    list.push_back(*arrival);
  }
  return list;
}

/// Within five standard deviations of a Poisson count.
bool near(double counted, double expected) {
  return std::abs(counted - expected) <= 5 * std::sqrt(expected);
}

}  // namespace

Test(arrivals, follow_the_rates_of_each_phase) {
  const std::vector<Arrival> list = all(two_services(), 1);
  const std::chrono::seconds middle(20);
  const Counts first = count(list, std::chrono::seconds(0), middle);
  const Counts second = count(list, middle, std::chrono::seconds(40));
  cr_assert(near(first.bays, 300 * 20));
  cr_assert(near(first.editors, 100 * 20));
  cr_assert(near(second.bays, 600 * 20));
  cr_assert(second.editors == 0);
}

Test(arrivals, a_worker_generates_its_share) {
  cr_assert(near(static_cast<double>(all(two_services(), 0.25).size()),
                 0.25 * (400 + 600) * 20));
}

Test(arrivals, come_in_order_and_within_the_run) {
  const std::vector<Arrival> list = all(two_services(), 1);
  for (std::size_t i = 1; i < list.size(); ++i) {
    cr_assert(list[i - 1].at <= list[i].at);
  }
  cr_assert(list.back().at < std::chrono::seconds(40));
}

Test(arrivals, are_the_same_for_the_same_seed) {
  const std::vector<Arrival> one = all(two_services(), 1);
  const std::vector<Arrival> two = all(two_services(), 1);
  cr_assert(one.size() == two.size());
  cr_assert(one.back().at == two.back().at);
}

Test(arrivals, a_phase_without_load_ends) {
  Experiment experiment = two_services();
  experiment.phases[0].factor = 0;
  const std::vector<Arrival> list = all(experiment, 1);
  cr_assert(list.front().at >= std::chrono::seconds(20));
}

// Failure: every request of a load is sent twice at the same instant.
Test(arrivals, seeds_that_follow_each_other_give_other_arrivals) {
  const std::vector<Arrival> one = all(two_services(), 1, 1000);
  const std::vector<Arrival> next = all(two_services(), 1, 1001);
  cr_assert(!one.empty() && !next.empty());
  cr_assert(one.front().at != next.front().at);
}
