#ifndef IBISMUX_REPORTS_LEAF_REPORT_H_
#define IBISMUX_REPORTS_LEAF_REPORT_H_

#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/directory/leaf_run.h"

namespace ibismux::reports {

/// What one or more daemons saw of one leaf recently.
struct LeafReport {
  directory::LeafRun run;
  double samples = 0;   ///< Calls that it rests on.
  double excess = 0;    ///< How many times the usual they took, less one.
  double failures = 0;  ///< Share of them that failed, 0 to 1.

  /// Slow or failing enough for others to want to know.
  [[nodiscard]] bool is_notable() const noexcept {
    return this->excess >= kNotableExcess || this->failures >= kNotableFailures;
  }

 private:
  // Single calls vary by a third; half as much again on average over some calls
  // means a leaf that is worse than its peers.
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
