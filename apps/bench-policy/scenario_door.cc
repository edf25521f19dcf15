#include <algorithm>

#include "apps/bench-policy/scenarios.h"

namespace ibismux::bench {

namespace {

using boost::json::object;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLength{30};
constexpr double kLoad = 0.25;  ///< Of the capacity.

ClusterSpec spec_of(std::uint32_t shards, std::uint64_t seed) {
  release::QueryService bays;
  bays.name = "bays";
  bays.priority = Priority::kDiagnostic;
  bays.deadline = milliseconds(1000);
  ClusterSpec spec;
  spec.shards = shards;
  spec.daemons = 3;
  spec.work.mean = milliseconds(8);
  spec.admits = true;
  spec.services = {bays};
  spec.seed = seed;
  return spec;
}

object run(const ClusterSpec& spec) {
  const query::CheaperOfTwo cheaper;
  SimCluster cluster(spec, cheaper);
  const std::vector<QueryEnd> ends =
      cluster.run({{"bays", kLoad * SimCluster::capacity(spec),
                    Duration::zero(), kLength}});
  object result = summary(ends);
  result["refused_at_door"] =
      std::count_if(ends.begin(), ends.end(),
                    [](const QueryEnd& end) { return end.refused_at_door; });
  return result;
}

}  // namespace

object run_door(std::uint64_t seed) {
  object result;
  for (const std::uint32_t shards : {4U, 8U, 30U}) {
    ClusterSpec spec = spec_of(shards, seed);
    spec.slow_leafs = 1;
    result["slow_leaf_of_" + std::to_string(2 * shards)] = run(spec);
    spec.slow_from = kLength / 2;
    result["becomes_slow_of_" + std::to_string(2 * shards)] = run(spec);
    spec.services[0].hedge_budget = 0;
    result["no_hedges_of_" + std::to_string(2 * shards)] = run(spec);
    spec.services[0].hedge_budget = release::QueryService().hedge_budget;
    spec.slow_leafs = 0;
    spec.work.slow_share = 0.05;
    spec.work.slow_factor = 10;
    result["slow_calls_" + std::to_string(shards)] = run(spec);
  }
  return result;
}

}  // namespace ibismux::bench
