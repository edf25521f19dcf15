// Measures how leafs are shared out among gateways.
//
//     bench-fanout --owners 2400 --leafs 18000 --zones 16
//
// Prints one JSON object a layout: how the leafs of a service lie in the zones.

#include <algorithm>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/gateway/ownership_strategy.h"
#include "ibismux/gateway/ownership_table.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/release/release.h"

namespace {

namespace options = boost::program_options;
using namespace ibismux;

constexpr int kBadInput = 2;

struct Sizes {
  std::size_t owners = 2400;
  std::size_t leafs = 18000;
  std::size_t zones = 16;
  std::size_t shards = 230;   ///< Of a query.
  std::size_t removals = 50;  ///< Daemons taken away, one at a time.
  std::uint64_t seed = 1;
};

/// How many zones the leafs of one service lie in.
struct Layout {
  const char* name;
  std::size_t zones_a_service;
};

constexpr Layout kLayouts[] = {{"one_zone", 1}, {"region", 3}, {"all", 0}};

std::string zone_name(std::size_t zone) {
  return "zone" + std::to_string(zone);
}

membership::MembershipView make_view(const Sizes& sizes, pcg64& random) {
  membership::MembershipView view;
  for (std::size_t i = 0; i < sizes.owners; ++i) {
    membership::Member member;
    member.name = "host-" + std::to_string(random());
    member.zone = zone_name(i % sizes.zones);
    view.members.push_back(std::move(member));
  }
  view.self = view.members.front().name;
  return view;
}

/// Services of `sizes.shards` leafs each, one replica a shard.
release::Release make_release(const Sizes& sizes, const Layout& layout) {
  release::Release release;
  const std::size_t spread =
      layout.zones_a_service == 0
          ? sizes.zones
          : std::min(layout.zones_a_service, sizes.zones);
  std::vector<std::size_t> in_zone(sizes.zones);
  for (std::size_t i = 0; i < sizes.leafs; ++i) {
    const std::size_t service = i / sizes.shards;
    release::BackendServer leaf;
    leaf.name = "leaf-" + std::to_string(i);
    leaf.zone = zone_name((service * spread + i % spread) % sizes.zones);
    leaf.connections = 40;
    release.leafs.push_back(std::move(leaf));
  }
  for (std::size_t first = 0; first < sizes.leafs; first += sizes.shards) {
    auto snapshot = std::make_shared<release::SnapshotView>();
    const std::size_t end = std::min(first + sizes.shards, sizes.leafs);
    for (std::size_t i = first; i < end; ++i) {
      snapshot->shards.push_back(
          {"shard", 0, 0, {static_cast<std::uint32_t>(i)}});
    }
    auto service = std::make_shared<release::ServiceView>();
    service->snapshots.push_back(snapshot);
    release.services["service-" + std::to_string(first)] = service;
  }
  return release;
}

std::vector<std::string> first_owners(const gateway::OwnershipTable& table) {
  std::vector<std::string> owners;
  for (std::size_t i = 0; i < table.leafs.size(); ++i) {
    owners.push_back(table.member_of(table.owners_of(i)[0]));
  }
  return owners;
}

double max_over_mean(const Sizes& sizes, const gateway::OwnershipTable& table) {
  std::vector<std::size_t> load(sizes.owners);
  for (std::size_t i = 0; i < table.leafs.size(); ++i) {
    ++load[table.owners_of(i)[0].member];
  }
  const auto most = *std::max_element(load.begin(), load.end());
  return static_cast<double>(most) * static_cast<double>(sizes.owners) /
         static_cast<double>(sizes.leafs);
}

struct Fanout {
  double mean = 0;
  std::size_t most = 0;
};

Fanout gateways_a_query(const release::Release& release,
                        const std::vector<std::string>& owners) {
  Fanout fanout;
  for (const auto& [name, service] : release.services) {
    std::set<std::string_view> met;
    for (const release::ShardView& shard : service->snapshots[0]->shards) {
      met.insert(owners[shard.replicas[0]]);
    }
    fanout.mean += static_cast<double>(met.size());
    fanout.most = std::max(fanout.most, met.size());
  }
  fanout.mean /= static_cast<double>(release.services.size());
  return fanout;
}

struct Moves {
  double mean = 0;
  std::size_t most = 0;
  double mean_us = 0;
};

/// Takes one daemon away at a time, and puts it back.
Moves measure_moves(const Sizes& sizes,
                    const gateway::OwnershipStrategy& strategy,
                    const release::Release& release,
                    const membership::MembershipView& view,
                    const std::vector<std::string>& before) {
  Moves moves;
  for (std::size_t i = 0; i < sizes.removals; ++i) {
    membership::MembershipView without = view;
    without.members[i * view.members.size() / sizes.removals].state =
        membership::Member::State::kFailed;
    const TimePoint started = Clock::now();
    const auto table = strategy.assign(release, without);
    moves.mean_us += static_cast<double>(
        std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                              started)
            .count());
    const std::vector<std::string> after = first_owners(*table);
    std::size_t moved = 0;
    for (std::size_t leaf = 0; leaf < after.size(); ++leaf) {
      moved += after[leaf] != before[leaf] ? 1 : 0;
    }
    moves.mean += static_cast<double>(moved);
    moves.most = std::max(moves.most, moved);
  }
  moves.mean /= static_cast<double>(sizes.removals);
  moves.mean_us /= static_cast<double>(sizes.removals);
  return moves;
}

boost::json::object measure(const Sizes& sizes, const Layout& layout) {
  pcg64 random(sizes.seed);
  const membership::MembershipView view = make_view(sizes, random);
  const release::Release release = make_release(sizes, layout);
  const auto strategy = gateway::make_ownership("gateway");
  const auto table = strategy->assign(release, view);
  const std::vector<std::string> owners = first_owners(*table);
  const std::set<std::string> distinct(owners.begin(), owners.end());
  const Fanout fanout = gateways_a_query(release, owners);
  const Moves moves = measure_moves(sizes, *strategy, release, view, owners);
  const double one =
      static_cast<double>(sizes.leafs) / static_cast<double>(sizes.owners);
  return {{"layout", layout.name},
          {"owners", sizes.owners},
          {"leafs", sizes.leafs},
          {"zones", sizes.zones},
          {"max_over_mean", max_over_mean(sizes, *table)},
          {"owners_without_leafs", sizes.owners - distinct.size()},
          {"gateways_mean", fanout.mean},
          {"gateways_max", fanout.most},
          {"moved_mean", moves.mean},
          {"moved_max", moves.most},
          {"moved_mean_times_n_over_leafs", moves.mean / one},
          {"recompute_us", moves.mean_us}};
}

options::options_description describe(Sizes& sizes) {
  options::options_description description("bench-fanout");
  auto add = description.add_options();
  add("owners", options::value(&sizes.owners)->default_value(sizes.owners));
  add("leafs", options::value(&sizes.leafs)->default_value(sizes.leafs));
  add("zones", options::value(&sizes.zones)->default_value(sizes.zones));
  add("shards", options::value(&sizes.shards)->default_value(sizes.shards),
      "leafs that a query meets");
  add("removals",
      options::value(&sizes.removals)->default_value(sizes.removals),
      "daemons taken away, one at a time");
  add("seed", options::value(&sizes.seed)->default_value(sizes.seed));
  return description;
}

}  // namespace

int main(int argc, char** argv) {
  Sizes sizes;
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, describe(sizes)),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "bench-fanout: " << error.what() << '\n';
    return kBadInput;
  }
  for (const Layout& layout : kLayouts) {
    std::cout << boost::json::serialize(measure(sizes, layout)) << std::endl;
  }
  return 0;
}
