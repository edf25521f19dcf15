#ifndef IBISMUX_REPORTS_REPORT_BOARD_H_
#define IBISMUX_REPORTS_REPORT_BOARD_H_

#include <map>
#include <string>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/reports/leaf_report.h"

namespace ibismux::reports {

/// What the daemons of a zone saw of leafs, put together.
///
/// Reports weigh by the calls they rest on, and lose half of their weight each
/// `kHalfLife`: troubles of leafs come and go within seconds. Not thread safe.
/// The times given never go back.
class ReportBoard {
 public:
  static constexpr std::chrono::milliseconds kHalfLife{1000};

  void take(const LeafReport& report, TimePoint now);

  /// Leafs that are notable now, and those that were said to be and that a
  /// later call has shown not to be any more.
  [[nodiscard]] std::vector<LeafReport> summary(TimePoint now);

 private:
  struct Row {
    double samples = 0;
    double excess_sum = 0;
    double failure_sum = 0;
    TimePoint updated;
    TimePoint called;   ///< When calls were last reported.
    bool told = false;  ///< Daemons were last told that it is notable.

    void fade(TimePoint now);
  };

  std::map<directory::LeafRun, Row> rows;
};

}  // namespace ibismux::reports

#endif  // IBISMUX_REPORTS_REPORT_BOARD_H_
