// Queries of a zone whose gatherers don't suffice, in virtual time: daemons of
// three zones, with two gatherers each, decide by themselves who gathers what.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "ibismux/gather/gather_room.h"
#include "ibismux/gather/gatherer_selector.h"
#include "ibismux/gather/overflow_asks.h"

#include <criterion/criterion.h>

namespace ibismux::gather::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kZones = 3;
constexpr std::size_t kGatherersOfZone = 2;

/// What the daemons of `hosts_of_zone` narrow hosts in each zone do.
class OverflowModel {
 public:
  struct Result {
    int queries = 0;
    int gathered_by_others = 0;
    std::size_t most_at_distant = 0;  ///< Queries at once, of other zones.

    [[nodiscard]] double share() const {
      return static_cast<double>(this->gathered_by_others) / this->queries;
    }
  };

  OverflowModel(std::size_t hosts_of_zone, bool overflows, double lost_share)
      : hosts_of_zone(hosts_of_zone),
        overflows(overflows),
        lost_share(lost_share) {
    for (std::size_t i = 0; i < kZones * hosts_of_zone; ++i) {
      this->hosts.push_back({{}, OverflowAsks(i)});
      std::vector<std::string> distant;
      for (std::size_t g = 0; g < kZones * kGatherersOfZone; ++g) {
        if (g % kZones != i % kZones) {
          distant.push_back(std::to_string(g));
        }
      }
      this->hosts.back().asks.set_gatherers(distant);
    }
    this->gatherers.resize(kZones * kGatherersOfZone);
  }

  /// Time that the gatherers of `zone` take for a query.
  void set_work(std::size_t zone, Duration work) { this->work[zone] = work; }

  /// Queries arrive at `per_second(zone, time)` for `time`.
  Result play(Duration time,
              const std::function<double(std::size_t, Duration)>& per_second) {
    constexpr milliseconds kStep{5};
    for (Duration at{0}; at < time; at += kStep) {
      this->now += kStep;
      if (at % milliseconds(200) == Duration::zero()) {
        this->offer_in_zones();
      }
      for (std::size_t zone = 0; zone < kZones; ++zone) {
        this->due[zone] += per_second(zone, at) * to_seconds(kStep);
        for (; this->due[zone] >= 1; this->due[zone] -= 1) {
          this->query(zone);
        }
      }
    }
    return this->result;
  }

 private:
  struct Host {
    GathererSelector selector;
    OverflowAsks asks;
  };
  struct Query {
    std::size_t host = 0;
    bool is_distant = false;
  };
  struct Gatherer {
    std::multimap<TimePoint, Query> running;  ///< By their ends.
  };

  [[nodiscard]] bool is_lost() {
    return static_cast<double>(this->random(1000)) < 1000 * this->lost_share;
  }

  void end_queries() {
    for (std::size_t g = 0; g < this->gatherers.size(); ++g) {
      auto& running = this->gatherers[g].running;
      while (!running.empty() && running.begin()->first <= this->now) {
        this->hosts[running.begin()->second.host].selector.on_end(
            std::to_string(g));
        running.erase(running.begin());
      }
    }
  }

  void offer_in_zones() {
    this->end_queries();
    for (std::size_t g = 0; g < this->gatherers.size(); ++g) {
      const std::size_t busy = this->gatherers[g].running.size();
      for (std::size_t i = g % kZones; i < this->hosts.size(); i += kZones) {
        if (!this->is_lost()) {
          this->hosts[i].selector.on_offer(std::to_string(g), 1,
                                           GatherRoom::near_room(busy), true,
                                           this->now);
        }
      }
    }
  }

  void ask(std::size_t host) {
    for (const std::string& name :
         this->hosts[host].asks.on_unavailable(this->now)) {
      const std::size_t room = GatherRoom::distant_room(
          this->gatherers[std::stoul(name)].running.size());
      if (room > 0 && !this->is_lost()) {
        this->hosts[host].selector.on_distant_offer(name, 1, room,
                                                    milliseconds(7), this->now);
      }
    }
  }

  void query(std::size_t zone) {
    this->end_queries();
    ++this->result.queries;
    const auto host =
        zone +
        kZones * this->random(static_cast<std::uint32_t>(this->hosts_of_zone));
    constexpr int kMaxTries = 2;
    for (int i = 0; i < kMaxTries; ++i) {
      const auto selection = this->hosts[host].selector.select({}, this->now);
      if (!selection) {
        if (this->overflows) {
          this->ask(host);
        }
        return;
      }
      const std::size_t gatherer = std::stoul(selection->member);
      if (this->take(gatherer, host, gatherer % kZones != zone)) {
        ++this->result.gathered_by_others;
        return;
      }
      this->hosts[host].selector.on_refused(selection->member);
      this->hosts[host].selector.on_end(selection->member);
      if (!this->overflows) {
        return;
      }
    }
  }

  bool take(std::size_t gatherer, std::size_t host, bool is_distant) {
    auto& running = this->gatherers[gatherer].running;
    if (!GatherRoom::has_room(running.size(), is_distant)) {
      return false;
    }
    running.emplace(this->now + this->work[gatherer % kZones],
                    Query{host, is_distant});
    const auto distant = static_cast<std::size_t>(
        std::count_if(running.begin(), running.end(),
                      [](const auto& row) { return row.second.is_distant; }));
    this->result.most_at_distant =
        std::max(this->result.most_at_distant, distant);
    return true;
  }

  const std::size_t hosts_of_zone;
  const bool overflows;
  const double lost_share;
  pcg32 random{7};
  TimePoint now = Clock::now();
  std::vector<Host> hosts;
  std::vector<Gatherer> gatherers;
  Duration work[kZones] = {milliseconds(60), milliseconds(60),
                           milliseconds(60)};
  double due[kZones] = {};
  Result result;
};

/// Zone 0 has eight times the demand of the others, and its gatherers are five
/// times slower.
OverflowModel::Result play_slow_zone(bool overflows, double lost_share) {
  OverflowModel model(20, overflows, lost_share);
  model.set_work(0, milliseconds(300));
  return model.play(seconds(20), [](std::size_t zone, Duration) {
    return zone == 0 ? 320.0 : 40.0;
  });
}

/// Whether at most half of the queries are left to narrow hosts.
bool halves_the_rest(const OverflowModel::Result& before,
                     const OverflowModel::Result& after) {
  return 1 - after.share() <= (1 - before.share()) / 2;
}

Test(overflow, queries_of_a_slow_zone_are_gathered_in_others) {
  const auto before = play_slow_zone(false, 0);
  const auto after = play_slow_zone(true, 0);
  cr_assert(halves_the_rest(before, after), "%f, %f", before.share(),
            after.share());
}

Test(overflow, offers_that_are_lost_leave_it_so) {
  const auto before = play_slow_zone(false, 0.3);
  const auto after = play_slow_zone(true, 0.3);
  cr_assert(halves_the_rest(before, after), "%f, %f", before.share(),
            after.share());
}

/// A demand that moves to the next zone each three seconds.
double moving_demand(std::size_t zone, Duration at) {
  return static_cast<std::size_t>(at / seconds(3)) % kZones == zone ? 1000 : 60;
}

constexpr std::size_t kLeftByReserve =
    GatherRoom::kMaxQueries - GatherRoom::kReservedForZone;

// Guards against daemons that all turn to the gatherers of the same zone, and
// take the room of its own daemons.
Test(overflow, demand_that_moves_leaves_room_in_each_zone) {
  for (const std::size_t hosts : {20, 320}) {
    OverflowModel model(hosts, true, 0.1);
    const auto result = model.play(seconds(18), &moving_demand);
    cr_assert(result.most_at_distant <= kLeftByReserve, "%zu of %zu",
              result.most_at_distant, hosts);
  }
}

}  // namespace
}  // namespace ibismux::gather::testing
