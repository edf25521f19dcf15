#ifndef IBISMUX_REPORTS_LEAF_REPORT_H_
#define IBISMUX_REPORTS_LEAF_REPORT_H_

#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/directory/leaf_run.h"

namespace ibismux::reports {

/// Recent latency and failures of one leaf as seen by one or more daemons.
struct LeafReport {
  directory::LeafRun run;
  double samples = 0;   ///< Number of calls that it is based on.
  double excess = 0;    ///< Mean ratio to the usual latency, minus one.
  double failures = 0;  ///< Share of the calls that failed, 0 to 1.

  /// Whether the leaf is slow or failing enough to be reported to peers.
  [[nodiscard]] bool is_notable() const noexcept {
    return this->excess >= kNotableExcess || this->failures >= kNotableFailures;
  }

 private:
  // The latency of single calls varies by a third; a mean that is half above
  // the usual over several calls means that the leaf is slower than its
  // replicas.
  static constexpr double kNotableExcess = 0.5;
  static constexpr double kNotableFailures = 0.2;
};

/// @name Payload of kLeafReports. Thread safe.
/// @{
[[nodiscard]] std::string encode(const std::vector<LeafReport>& reports);
/// Errors: kProtocolError.
[[nodiscard]] Result<std::vector<LeafReport>> decode_reports(
    const std::string& payload);
/// @}

}  // namespace ibismux::reports

#endif  // IBISMUX_REPORTS_LEAF_REPORT_H_
