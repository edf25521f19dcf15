#ifndef IBISMUX_REPORTS_REPORT_AGGREGATOR_H_
#define IBISMUX_REPORTS_REPORT_AGGREGATOR_H_

#include <map>
#include <string>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/reports/leaf_report.h"

namespace ibismux::reports {

/// Aggregates the leaf reports of all daemons of a zone.
///
/// Reports are weighted by the number of calls that they are based on, and lose
/// half of their weight every `kHalfLife`, because leafs become slow and
/// recover within seconds. Not thread safe. Precondition: the times passed
/// never decrease.
class ReportAggregator {
 public:
  static constexpr std::chrono::milliseconds kHalfLife{1000};

  void add(const LeafReport& report, TimePoint now);

  /// Returns the leafs that are notable now, and once each leaf that was
  /// notable in a summary and that has recovered according to later calls.
  [[nodiscard]] std::vector<LeafReport> summary(TimePoint now);

 private:
  struct Row {
    double samples = 0;
    double excess_sum = 0;
    double failure_sum = 0;
    TimePoint updated;
    TimePoint last_report;          ///< When calls were last reported.
    bool reported_notable = false;  ///< Notable when last part of a summary.

    void decay(TimePoint now);
  };

  std::map<directory::LeafRun, Row> rows;
};

}  // namespace ibismux::reports

#endif  // IBISMUX_REPORTS_REPORT_AGGREGATOR_H_
