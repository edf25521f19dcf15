#include "apps/bench-policy/scenarios.h"

namespace ibismux::bench {

namespace {

using boost::json::object;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLength{60};
constexpr double kPerSecond = 150;

object run(const ClusterSpec& spec) {
  const query::CheaperOfTwo cheaper;
  SimCluster cluster(spec, cheaper);
  const std::vector<QueryEnd> ends =
      cluster.run({{"catalogue", kPerSecond, Duration::zero(), kLength}});
  std::uint64_t mixed = 0;
  std::uint64_t false_coverage = 0;
  std::uint64_t restarts = 0;
  std::uint64_t failed = 0;
  for (const QueryEnd& end : ends) {
    mixed += end.mixed ? 1 : 0;
    false_coverage += end.false_coverage ? 1 : 0;
    restarts += end.restarts;
    failed += end.error.has_value() ? 1 : 0;
  }
  object result = summary(ends);
  result["mixed"] = mixed;
  result["false_coverage"] = false_coverage;
  result["restarts"] = restarts;
  result["availability"] =
      1 - static_cast<double>(failed) / static_cast<double>(ends.size());
  return result;
}

ClusterSpec spec_of(std::uint32_t replicas,
                    milliseconds release_lag,
                    milliseconds drop_lag,
                    std::uint64_t seed) {
  release::QueryService service;
  service.name = "catalogue";
  ClusterSpec spec;
  spec.shards = 6;
  spec.replicas = replicas;
  spec.services = {service};
  spec.flips = FlipModel{};
  spec.flips->length = kLength;
  spec.flips->release_lag = release_lag;
  spec.flips->drop_lag = drop_lag;
  spec.seed = seed;
  return spec;
}

}  // namespace

object run_flips(std::uint64_t seed) {
  object result;
  for (const std::uint32_t replicas : {1U, 2U}) {
    const std::string prefix = "replicas_" + std::to_string(replicas);
    result[prefix + "_leafs_drop_late"] =
        run(spec_of(replicas, milliseconds(300), milliseconds(1500), seed));
    result[prefix + "_leafs_drop_soon"] =
        run(spec_of(replicas, milliseconds(300), milliseconds(300), seed));
    result[prefix + "_leafs_drop_first"] =
        run(spec_of(replicas, milliseconds(600), milliseconds(50), seed));
  }
  return result;
}

}  // namespace ibismux::bench
