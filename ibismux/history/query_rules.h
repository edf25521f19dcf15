#ifndef IBISMUX_HISTORY_QUERY_RULES_H_
#define IBISMUX_HISTORY_QUERY_RULES_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "ibismux/history/history_record.h"
#include "ibismux/history/run_index.h"
#include "ibismux/history/violation.h"

namespace ibismux::history {

/// Checks each query's answer against itself and the leafs' runs: one snapshot,
/// true coverage, nothing foreign, true "not run". Not thread safe.
class QueryRules {
 public:
  /// References outlive the object. @param runs Sealed before the first
  /// check().
  QueryRules(const RunIndex& runs, const Report& report)
      : runs(runs), report(report) {}

  void check(const QueryRecord& query);

 private:
  void check_hits(const QueryRecord& query);
  void check_coverage(const QueryRecord& query);
  void check_not_run(const QueryRecord& query);
  void tell(ViolationKind kind, const QueryRecord& query, std::string evidence);

  const RunIndex& runs;
  const Report& report;
  /// Shards of a service's snapshot, as its first answer gave them.
  std::map<std::pair<std::string, std::string>, std::uint64_t> totals;
};

}  // namespace ibismux::history

#endif  // IBISMUX_HISTORY_QUERY_RULES_H_
