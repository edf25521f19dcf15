#include <algorithm>

#include "apps/bench-policy/scenarios.h"

namespace ibismux::bench {

namespace {

using boost::json::object;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLoad = 0.4;  ///< Of the capacity.
constexpr seconds kLength{30};
/// Queries a second of a small service, over all daemons.
constexpr double kLowRate = 40;

double to_ms(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double quantile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

release::QueryService service_of(double hedge_budget) {
  release::QueryService service;
  service.name = "catalogue";
  service.deadline = milliseconds(5000);
  service.min_coverage = 0;
  service.hedge_budget = hedge_budget;
  return service;
}

WorkModel stragglers() {
  return {milliseconds(10), 0.01, 20};
}

object run(const ClusterSpec& spec,
           const query::ReplicaChoice& replicas,
           double load = kLoad) {
  SimCluster cluster(spec, replicas);
  return summary(cluster.run({{"catalogue", load * SimCluster::capacity(spec),
                               Duration::zero(), kLength}}));
}

ClusterSpec spec_of(std::uint32_t shards, double budget, std::uint64_t seed) {
  ClusterSpec spec;
  spec.shards = shards;
  spec.work = stragglers();
  spec.services = {service_of(budget)};
  spec.seed = seed;
  return spec;
}

}  // namespace

object summary(const std::vector<QueryEnd>& ends) {
  std::vector<double> latencies;
  double coverage = 0;
  std::uint64_t calls = 0;
  std::uint64_t extra = 0;
  std::uint64_t failed = 0;
  for (const QueryEnd& end : ends) {
    calls += end.calls;
    extra += end.extra_calls;
    coverage += end.coverage;
    failed += end.error.has_value() ? 1 : 0;
    latencies.push_back(to_ms(end.done - end.sent));
  }
  std::sort(latencies.begin(), latencies.end());
  return {{"queries", ends.size()},
          {"failed", failed},
          {"p50_ms", quantile(latencies, 0.5)},
          {"p99_ms", quantile(latencies, 0.99)},
          {"p99_9_ms", quantile(latencies, 0.999)},
          {"coverage", coverage / static_cast<double>(ends.size())},
          {"extra_calls",
           static_cast<double>(extra) / static_cast<double>(calls - extra)}};
}

object run_tail(std::uint64_t seed) {
  const query::RandomReplica any;
  const query::CheaperOfTwo cheaper;
  object result;
  for (const std::uint32_t shards : {3U, 30U, 230U}) {
    const ClusterSpec plain = spec_of(shards, 0, seed);
    const ClusterSpec hedged = spec_of(shards, 0.05, seed);
    object runs = {{"random", run(plain, any)},
                   {"cheaper_of_two", run(plain, cheaper)},
                   {"hedged", run(hedged, cheaper)}};
    runs["p99_ratio"] = runs["hedged"].at("p99_ms").as_double() /
                        runs["cheaper_of_two"].at("p99_ms").as_double();
    result["shards_" + std::to_string(shards)] = std::move(runs);
  }
  return result;
}

object run_quantiles(std::uint64_t seed) {
  const query::CheaperOfTwo cheaper;
  object result;
  for (const std::uint32_t shards : {3U, 30U, 230U}) {
    object runs;
    for (const double quantile : {0.9, 0.95, 0.97, 0.98, 0.99}) {
      ClusterSpec spec = spec_of(shards, 0.05, seed);
      spec.services[0].hedge_quantile = quantile;
      runs[std::to_string(quantile).substr(0, 4)] = run(spec, cheaper);
    }
    result["shards_" + std::to_string(shards)] = std::move(runs);
  }
  return result;
}

object run_calm(std::uint64_t seed) {
  const query::CheaperOfTwo cheaper;
  object result;
  for (const std::uint32_t shards : {3U, 30U, 230U}) {
    ClusterSpec plain = spec_of(shards, 0, seed);
    plain.work.slow_share = 0;
    ClusterSpec hedged = plain;
    hedged.services = {service_of(0.05)};
    result["shards_" + std::to_string(shards)] = {
        {"plain", run(plain, cheaper)}, {"hedged", run(hedged, cheaper)}};
  }
  return result;
}

object run_low_rate(std::uint64_t seed) {
  const query::CheaperOfTwo cheaper;
  object result;
  for (const int length : {4, 30}) {
    const ClusterSpec spec = spec_of(5, 0.05, seed);
    SimCluster cluster(spec, cheaper);
    result["seconds_" + std::to_string(length)] = summary(cluster.run(
        {{"catalogue", kLowRate, Duration::zero(), seconds(length)}}));
  }
  return result;
}

object run_loads(std::uint64_t seed) {
  const query::CheaperOfTwo cheaper;
  object result;
  for (const double load : {0.2, 0.6, 0.8, 0.95}) {
    result["load_" + std::to_string(load).substr(0, 4)] = {
        {"plain", run(spec_of(30, 0, seed), cheaper, load)},
        {"hedged", run(spec_of(30, 0.05, seed), cheaper, load)}};
  }
  return result;
}

object run_single(std::uint64_t seed) {
  const query::CheaperOfTwo cheaper;
  ClusterSpec spec = spec_of(3, 0.05, seed);
  spec.replicas = 1;
  object result = {{"wait_for_coverage", run(spec, cheaper)}};
  spec.services[0].answer_by = milliseconds(60);
  spec.services[0].min_coverage = 0.6;
  result["answer_by_60_ms"] = run(spec, cheaper);
  return result;
}

object run_slow_leaf(std::uint64_t seed) {
  const query::RandomReplica any;
  const query::CheaperOfTwo cheaper;
  ClusterSpec plain = spec_of(30, 0, seed);
  plain.work.slow_share = 0;
  plain.slow_leafs = 1;
  ClusterSpec hedged = plain;
  hedged.services = {service_of(0.05)};
  return {{"random", run(plain, any)},
          {"cheaper_of_two", run(plain, cheaper)},
          {"random_hedged", run(hedged, any)},
          {"hedged", run(hedged, cheaper)}};
}

object run_refusals(std::uint64_t seed) {
  const query::RandomReplica any;
  const query::CheaperOfTwo cheaper;
  ClusterSpec spec = spec_of(30, 0.05, seed);
  spec.work.slow_share = 0;
  spec.half_refuse = true;
  object result = {{"random", run(spec, any)},
                   {"cheaper_of_two", run(spec, cheaper)}};
  spec.replicas = 1;
  result["single_replica"] = run(spec, cheaper);
  return result;
}

}  // namespace ibismux::bench
