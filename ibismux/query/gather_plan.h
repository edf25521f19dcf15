#ifndef IBISMUX_QUERY_GATHER_PLAN_H_
#define IBISMUX_QUERY_GATHER_PLAN_H_

#include <cstdint>

#include "ibismux/base/forward.h"
#include "ibismux/query/deadline_policy.h"
#include "ibismux/query/forward.h"
#include "ibismux/release/forward.h"

namespace ibismux::query {

/// The parameters of one query: its deadlines, result size and random seed.
struct GatherPlan {
  DeadlinePolicy deadlines;
  std::size_t most_hits = 10;
  std::uint64_t seed = 0;  ///< Seed of the random replica choices.
};

/// The plan for `request` to the service that `spec` describes.
[[nodiscard]] GatherPlan make_gather_plan(const QueryRequest& request,
                                          const release::QueryService& spec,
                                          std::uint64_t seed);

/// The policies that a query shares with other queries. All outlive it.
struct GatherPolicies {
  const ReplicaChoice& replicas;
  ServicePolicy& service;
  FractionBudget& retries;
  /// Tokens that each first call adds to `retries`.
  double retry_share = 0.1;
};

/// A call to start.
struct GatherCall {
  std::uint64_t sequence = 0;
  std::uint32_t shard = 0;  ///< Index into the snapshot's shards.
  std::uint32_t leaf = 0;   ///< Index into the release's leafs.
};

/// Counts of the calls and answers of one query, for metrics.
struct GatherCounts {
  std::uint32_t calls = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
  std::uint32_t restarts = 0;
  std::uint32_t foreign = 0;    ///< Answers that match no call of this query.
  std::uint32_t late = 0;       ///< Answers to calls that had already ended.
  std::uint32_t malformed = 0;  ///< Answers whose body isn't a list of hits.
  std::uint32_t retries_refused = 0;  ///< Retries that the budget didn't allow.
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_GATHER_PLAN_H_
