#ifndef IBISMUX_QUERY_GATHER_PLAN_H_
#define IBISMUX_QUERY_GATHER_PLAN_H_

#include <cstdint>

#include "ibismux/base/forward.h"
#include "ibismux/query/deadline_policy.h"
#include "ibismux/query/forward.h"
#include "ibismux/release/forward.h"

namespace ibismux::query {

/// What one query asks for and may spend.
struct GatherPlan {
  DeadlinePolicy deadlines;
  std::size_t most_hits = 10;
  std::uint64_t seed = 0;  ///< Of the choices among replicas.
};

/// The plan of `request` to the service of `spec`.
[[nodiscard]] GatherPlan make_gather_plan(const QueryRequest& request,
                                          const release::QueryService& spec,
                                          std::uint64_t seed);

/// The policies that a query shares with others. All outlive it.
struct GatherPolicies {
  const ReplicaChoice& replicas;
  ServicePolicy& service;
  FractionBudget& retries;
  /// What each ordinary call pays into `retries`, of a token.
  double retry_share = 0.1;
};

/// A call to start.
struct GatherCall {
  std::uint64_t sequence = 0;
  std::uint32_t shard = 0;  ///< Position in the snapshot.
  std::uint32_t leaf = 0;   ///< Position in the release.
};

/// What became of the answers and calls of one query, for metrics.
struct GatherCounts {
  std::uint32_t calls = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
  std::uint32_t restarts = 0;
  std::uint32_t foreign = 0;    ///< Answers that match no call of this query.
  std::uint32_t late = 0;       ///< Answers to calls that were given up.
  std::uint32_t malformed = 0;  ///< Answers whose body is no list of hits.
  std::uint32_t budget_empty = 0;  ///< Retries that the budget refused.
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_GATHER_PLAN_H_
