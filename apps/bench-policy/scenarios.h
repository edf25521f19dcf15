#ifndef IBISMUX_APPS_BENCH_POLICY_SCENARIOS_H_
#define IBISMUX_APPS_BENCH_POLICY_SCENARIOS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <vector>

#include "apps/bench-policy/sim_cluster.h"

namespace ibismux::bench {

/// Latencies, coverage and cost of queries, as one JSON object.
[[nodiscard]] boost::json::object summary(const std::vector<QueryEnd>& ends);

/// 1% of calls 20 times slow, with two replicas: without and with hedges.
[[nodiscard]] boost::json::object run_tail(std::uint64_t seed);

/// The same over the quantile after which a call may be hedged.
[[nodiscard]] boost::json::object run_quantiles(std::uint64_t seed);

/// Without slow calls, where hedges can help little.
[[nodiscard]] boost::json::object run_calm(std::uint64_t seed);

/// 1% of calls 20 times slow, at 6 queries a second and daemon.
[[nodiscard]] boost::json::object run_low_rate(std::uint64_t seed);

/// The first over the load, without and with hedges.
[[nodiscard]] boost::json::object run_loads(std::uint64_t seed);

/// The same with a single replica: answers by `answer_by`, and full coverage.
[[nodiscard]] boost::json::object run_single(std::uint64_t seed);

/// One leaf of sixty is 20 times slow, for every call.
[[nodiscard]] boost::json::object run_slow_leaf(std::uint64_t seed);

/// Half of the leafs refuse.
[[nodiscard]] boost::json::object run_refusals(std::uint64_t seed);

/// Snapshots flip every 2 s while shards split and merge.
[[nodiscard]] boost::json::object run_flips(std::uint64_t seed);

/// Processor time of a query and of an admission, on the real clock; the one
/// scenario that varies from run to run.
[[nodiscard]] boost::json::object run_cost(std::uint64_t seed);

/// Twice the capacity for 20 s, four classes.
[[nodiscard]] boost::json::object run_overload(std::uint64_t seed);

/// A quarter of the capacity, with a door: one leaf 20 times slow, or 5% of
/// calls 10 times slow. Nothing is overloaded.
[[nodiscard]] boost::json::object run_door(std::uint64_t seed);

/// Several rate rules at once, against limiters in a chain.
[[nodiscard]] boost::json::object run_limits(std::uint64_t seed);

}  // namespace ibismux::bench

#endif  // IBISMUX_APPS_BENCH_POLICY_SCENARIOS_H_
