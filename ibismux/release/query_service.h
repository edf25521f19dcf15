#ifndef IBISMUX_RELEASE_QUERY_SERVICE_H_
#define IBISMUX_RELEASE_QUERY_SERVICE_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "ibismux/base/priority.h"

namespace ibismux::release {

/// Object kind `query_service`: what callers ask, and how its answers trade
/// time against coverage.
struct QueryService {
  std::string name;
  Priority priority = Priority::kCatalogue;
  /// The latest that an answer is worth anything; a caller may ask for less.
  std::chrono::milliseconds deadline{1000};
  /// When a partial answer goes out, if it covers at least `min_coverage`.
  /// Absent: wait for full coverage up to the deadline.
  std::optional<std::chrono::milliseconds> answer_by;
  /// The share of shards, 0 to 1, below which the answer is an error.
  double min_coverage = 1.0;
  /// A call slower than this quantile of the service's calls may be hedged.
  double hedge_quantile = 0.95;
  /// Hedges as a share of calls, 0 to 1.
  double hedge_budget = 0.05;
  /// Names of the `limit_policy` objects that apply.
  std::vector<std::string> limits;

  [[nodiscard]] bool operator==(const QueryService&) const = default;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_QUERY_SERVICE_H_
