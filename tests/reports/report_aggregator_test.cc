#include "ibismux/reports/report_aggregator.h"

#include <criterion/criterion.h>

#include <limits>

namespace ibismux::reports {
namespace {

using std::chrono::milliseconds;

LeafReport report(double samples, double excess, double failures = 0) {
  return {{"leaf"}, samples, excess, failures};
}

Test(report_aggregator, reports_are_weighted_by_number_of_calls) {
  ReportAggregator aggregator;
  const TimePoint now = Clock::now();
  aggregator.add(report(1, 4), now);
  aggregator.add(report(3, 2), now);
  const auto summary = aggregator.summary(now);
  cr_assert(summary.size() == 1);
  cr_assert(summary[0].samples == 4);
  cr_assert(summary[0].excess == 2.5);
}

// Guards against each daemon of a zone having to detect a slow leaf on its own.
Test(report_aggregator,
     one_call_of_each_daemon_suffices_to_detect_a_slow_leaf) {
  ReportAggregator aggregator;
  const TimePoint now = Clock::now();
  for (int daemon = 0; daemon < 26; ++daemon) {
    aggregator.add(report(1, 4), now + milliseconds(daemon * 20));
  }
  const auto summary = aggregator.summary(now + milliseconds(520));
  cr_assert(summary.size() == 1);
  cr_assert(summary[0].samples > 12);
  cr_assert(summary[0].excess > 3.9);
}

Test(report_aggregator, one_daemon_does_not_outweigh_the_zone) {
  ReportAggregator aggregator;
  const TimePoint now = Clock::now();
  aggregator.add(report(1000, 4), now);
  for (int daemon = 0; daemon < 25; ++daemon) {
    aggregator.add(report(4, 0), now);
  }
  cr_assert(aggregator.summary(now).empty());
}

Test(report_aggregator, a_recovered_leaf_is_reported_once_more) {
  ReportAggregator aggregator;
  TimePoint now = Clock::now();
  aggregator.add(report(4, 4), now);
  cr_assert(aggregator.summary(now).size() == 1);
  now += milliseconds(2000);
  aggregator.add(report(8, 0), now);
  const auto recovered = aggregator.summary(now);
  cr_assert(recovered.size() == 1);
  cr_assert(!recovered[0].is_notable());
  cr_assert(aggregator.summary(now).empty());
}

// Guards against a recovered leaf that is still considered slow.
Test(report_aggregator, a_leaf_found_recovered_after_a_pause_is_reported) {
  ReportAggregator aggregator;
  TimePoint now = Clock::now();
  aggregator.add(report(4, 4), now);
  cr_assert(aggregator.summary(now).size() == 1);
  now += std::chrono::seconds(20);
  cr_assert(aggregator.summary(now).empty());
  aggregator.add(report(1, 0), now);
  const auto recovered = aggregator.summary(now);
  cr_assert(recovered.size() == 1);
  cr_assert(!recovered[0].is_notable());
}

Test(report_aggregator, old_reports_expire) {
  ReportAggregator aggregator;
  const TimePoint now = Clock::now();
  aggregator.add(report(4, 4), now);
  cr_assert(aggregator.summary(now + std::chrono::seconds(10)).empty());
}

Test(report_aggregator, failures_are_notable_too) {
  ReportAggregator aggregator;
  const TimePoint now = Clock::now();
  aggregator.add(report(4, 0, 0.5), now);
  cr_assert(aggregator.summary(now).size() == 1);
}

Test(leaf_report, is_unchanged_by_encoding_and_decoding) {
  const auto read = decode_reports(encode({report(2, 1.5, 0.25)}));
  cr_assert(read.has_value() && read->size() == 1);
  cr_assert(read->front().run.id == "leaf");
  cr_assert(read->front().samples == 2);
  cr_assert(read->front().excess == 1.5);
  cr_assert(read->front().failures == 0.25);
}

Test(leaf_report, out_of_range_numbers_are_rejected) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const LeafReport& invalid :
       {report(0, 1), report(-1, 1), report(nan, 1), report(1, nan),
        report(1, -1), report(1, 1, -0.5)}) {
    cr_assert(!decode_reports(encode({invalid})).has_value());
  }
  cr_assert(!decode_reports("garbage").has_value());
}

}  // namespace
}  // namespace ibismux::reports
