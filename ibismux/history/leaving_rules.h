#ifndef IBISMUX_HISTORY_LEAVING_RULES_H_
#define IBISMUX_HISTORY_LEAVING_RULES_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "ibismux/history/history_record.h"
#include "ibismux/history/violation.h"

namespace ibismux::history {

/// Checks that a leaf gets no new work once it has been leaving for a while.
/// Not thread safe.
class LeavingRules {
 public:
  /// `report` outlives the object. @param allowed How long after it began to
  /// leave new work may still come.
  LeavingRules(Instant allowed, const Report& report)
      : allowed(allowed), report(report) {}

  void add(const LeafStateRecord& state);
  /// After all states.
  void check(const RunRecord& run);

 private:
  const Instant allowed;
  const Report& report;
  std::unordered_map<std::string, std::vector<LeafStateRecord>> states;
};

}  // namespace ibismux::history

#endif  // IBISMUX_HISTORY_LEAVING_RULES_H_
