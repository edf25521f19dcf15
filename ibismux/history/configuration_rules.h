#ifndef IBISMUX_HISTORY_CONFIGURATION_RULES_H_
#define IBISMUX_HISTORY_CONFIGURATION_RULES_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/history/history_record.h"
#include "ibismux/history/violation.h"

namespace ibismux::history {

/// Checks that each run of a daemon only goes forward in generations, and that
/// what was accepted is in force at all of them in time. Not thread safe.
///
/// A run of a daemon is judged from when it was first seen to when it was last
/// seen.
class ConfigurationRules {
 public:
  /// `report` outlives the object.
  ConfigurationRules(Instant allowed, const Report& report)
      : allowed(allowed), report(report) {}

  void add(const AcceptedRecord& accepted);
  void add(const InForceRecord& in_force);
  /// After all records.
  void check();

 private:
  using Daemon = std::pair<std::string, std::string>;  // Member, incarnation.

  void check_order(const Daemon& daemon,
                   const std::vector<InForceRecord>& seen);
  void check_delay(const Daemon& daemon,
                   const std::vector<InForceRecord>& seen,
                   const AcceptedRecord& accepted);

  const Instant allowed;
  const Report& report;
  std::vector<AcceptedRecord> changes;
  std::map<Daemon, std::vector<InForceRecord>> daemons;
};

}  // namespace ibismux::history

#endif  // IBISMUX_HISTORY_CONFIGURATION_RULES_H_
