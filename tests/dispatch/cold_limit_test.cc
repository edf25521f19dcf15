#include "ibismux/dispatch/cold_limit.h"

#include <numeric>
#include <pcg_random.hpp>
#include <random>
#include <set>
#include <vector>

#include "ibismux/dispatch/link_plan.h"
#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch::testing {
namespace {

using std::chrono::milliseconds;

/// Load pattern: all leafs of a zone restart cold at the same time, and every
/// daemon of the fleet always has calls for each of them.
struct ColdFleet {
  static constexpr std::uint64_t kLeaf = 7;

  ColdFleet(std::size_t hosts, double rate) {
    for (std::size_t rank = 0; rank < hosts; ++rank) {
      LinkSharers sharers;
      sharers.hosts = hosts;
      sharers.rank = rank;
      this->limits.emplace_back();
      this->limits.back().set_share(cold_share(rate, sharers, kLeaf));
      this->limits.back().set_reported(this->now + std::chrono::hours(1));
    }
  }

  /// Every daemon tries a call every 10 ms. @return The start times of calls.
  std::vector<TimePoint> run(std::chrono::seconds time) {
    std::vector<TimePoint> calls;
    std::vector<std::size_t> order(this->limits.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    for (const TimePoint end = this->now + time; this->now < end;
         this->now += milliseconds(10)) {
      std::shuffle(order.begin(), order.end(), this->random);
      for (const std::size_t i : order) {
        if (this->limits[i].allows(this->now)) {
          this->limits[i].on_call(this->now);
          calls.push_back(this->now);
        }
      }
    }
    return calls;
  }

  TimePoint now = Clock::now();
  std::vector<ColdLimit> limits;
  pcg32 random{1};
};

std::size_t max_per_second(const std::vector<TimePoint>& calls) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    while (calls[i] - calls[first] >= std::chrono::seconds(1)) {
      ++first;
    }
    most = std::max(most, i - first + 1);
  }
  return most;
}

Test(cold_limit, a_fleet_of_any_size_stays_within_the_rate_of_a_cold_leaf) {
  for (const std::size_t hosts : {1UL, 6UL, 79UL, 300UL}) {
    for (const double rate : {0.5, 1.0, 3.7, 20.0, 100.0, 1000.0}) {
      ColdFleet fleet(hosts, rate);
      const auto calls = fleet.run(std::chrono::seconds(6));
      cr_assert(static_cast<double>(max_per_second(calls)) <=
                std::max(1.0, rate));
      cr_assert(!calls.empty());
    }
  }
}

Test(cold_limit, most_of_the_rate_of_a_cold_leaf_is_used) {
  ColdFleet fleet(300, 20);
  const auto calls = fleet.run(std::chrono::seconds(6));
  cr_assert(calls.size() >= 6 * 20 * 3 / 4, "%zu", calls.size());
}

Test(cold_limit, different_leafs_are_used_by_different_daemons) {
  std::set<std::size_t> users;
  for (std::uint64_t leaf = 0; leaf < 40; ++leaf) {
    for (std::size_t rank = 0; rank < 79; ++rank) {
      LinkSharers sharers;
      sharers.hosts = 79;
      sharers.rank = rank;
      if (cold_share(5, sharers, leaf * 31).calls > 0) {
        users.insert(rank);
      }
    }
  }
  cr_assert(users.size() > 60);
}

Test(cold_limit, a_warm_leaf_and_one_without_a_stated_rate_have_no_limit) {
  const TimePoint now = Clock::now();
  ColdLimit warm;
  warm.set_share({0, milliseconds(1200)});
  cr_assert(warm.allows(now));
  ColdLimit unlimited;
  unlimited.set_reported(now + std::chrono::seconds(3));
  for (int i = 0; i < 100; ++i) {
    cr_assert(unlimited.allows(now));
    unlimited.on_call(now);
  }
}

Test(cold_limit, tells_when_the_next_call_may_start) {
  const TimePoint now = Clock::now();
  ColdLimit limit;
  limit.set_share({1, milliseconds(1200)});
  limit.set_reported(now + std::chrono::seconds(3));
  limit.on_call(now);
  cr_assert(!limit.allows(now + milliseconds(1199)));
  cr_assert(limit.next_allowed(now) == now + milliseconds(1200));
  cr_assert(limit.allows(now + milliseconds(1200)));
  limit.set_share({0, milliseconds(1200)});
  cr_assert(limit.is_closed(now));
  cr_assert(limit.next_allowed(now) == now + std::chrono::seconds(3));
}

/// A fixture whose cold leafs tolerate `rate` requests per second.
struct ColdFixture : DispatchFixture {
  explicit ColdFixture(double rate) {
    auto services =
        std::vector<routing::ServiceSpec>{{.name = "desk",
                                           .leaf_connections = 40,
                                           .warmup = std::chrono::seconds(30),
                                           .warmup_rate = rate}};
    const routing::RouteTable& before = *this->dispatcher.table();
    this->dispatcher.activate(std::make_shared<const routing::RouteTable>(
        2, before.routes(), services, routing::CallerLimits{}));
    LinkSharers fleet;
    fleet.hosts = 3;
    fleet.hosts_by_zone = {{"z0", 1}, {"z1", 1}, {"z2", 1}};
    this->dispatcher.set_fleet(fleet);
  }

  void report_cold(int leaf, std::chrono::milliseconds left) {
    directory::LeafEntry entry;
    entry.run.id = "desk-" + std::to_string(leaf);
    entry.service = "desk";
    entry.zone = "z" + std::to_string(leaf);
    entry.slots = 4;
    entry.warmup_left = left;
    this->dispatcher.on_leaf_updated(entry);
  }

  std::size_t runs_at(int leaf) {
    return this->leafs.runs["desk-" + std::to_string(leaf)].size();
  }

  int run_pages(int count) {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      const std::string id = "p" + std::to_string(++this->number);
      served += this->run(id, "/page/").has_value() ? 1 : 0;
    }
    return served;
  }

  int number = 0;
};

Test(cold_leafs, a_leaf_that_becomes_cold_under_traffic_gets_only_its_share) {
  ColdFixture fixture(6);
  cr_assert(fixture.run_pages(10) == 10);
  cr_assert(fixture.runs_at(0) == 10);
  fixture.report_cold(0, std::chrono::seconds(60));
  cr_assert(fixture.run_pages(20) == 20);
  cr_assert(fixture.runs_at(0) == 12, "%zu", fixture.runs_at(0));
}

Test(cold_leafs, a_zone_is_cold_after_its_evacuation) {
  ColdFixture fixture(6);
  fixture.dispatcher.set_evacuated({"z0"});
  fixture.dispatcher.set_evacuated({});
  cr_assert(fixture.run_pages(20) == 20);
  cr_assert(fixture.runs_at(0) == 2, "%zu", fixture.runs_at(0));
}

Test(cold_leafs, with_all_leafs_cold_calls_wait_for_their_share) {
  ColdFixture fixture(3);
  for (int leaf = 0; leaf < 3; ++leaf) {
    fixture.report_cold(leaf, std::chrono::seconds(60));
  }
  cr_assert(fixture.run_pages(4) == 4);
}

Test(cold_leafs, a_daemon_without_a_share_refuses_immediately) {
  ColdFixture fixture(1);
  LinkSharers fleet;
  fleet.hosts = 300;
  fleet.hosts_by_zone = {{"z0", 100}, {"z1", 100}, {"z2", 100}};
  // Tries all ranks to find one whose daemon may use none of the leafs.
  for (fleet.rank = 0; fleet.rank < 300; ++fleet.rank) {
    fixture.dispatcher.set_fleet(fleet);
    for (int leaf = 0; leaf < 3; ++leaf) {
      fixture.report_cold(leaf, std::chrono::milliseconds(60'000 - fleet.rank));
    }
    const Outcome& outcome =
        fixture.run("c" + std::to_string(fleet.rank), "/page/");
    if (!outcome) {
      cr_assert(outcome.error().execution == Execution::kNotRun);
      cr_assert(outcome.error().retry_after.has_value());
      return;
    }
  }
  cr_assert_fail("every rank has a share");
}

}  // namespace
}  // namespace ibismux::dispatch::testing
