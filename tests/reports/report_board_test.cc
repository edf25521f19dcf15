#include "ibismux/reports/report_board.h"

#include <criterion/criterion.h>

#include <limits>

namespace ibismux::reports {
namespace {

using std::chrono::milliseconds;

LeafReport report(double samples, double excess, double failures = 0) {
  return {{"leaf"}, samples, excess, failures};
}

Test(report_board, reports_are_weighted_by_number_of_calls) {
  ReportBoard board;
  const TimePoint now = Clock::now();
  board.take(report(1, 4), now);
  board.take(report(3, 2), now);
  const auto summary = board.summary(now);
  cr_assert(summary.size() == 1);
  cr_assert(summary[0].samples == 4);
  cr_assert(summary[0].excess == 2.5);
}

// Guards against each daemon of a zone having to detect a slow leaf on its own.
Test(report_board, one_call_of_each_daemon_suffices_to_detect_a_slow_leaf) {
  ReportBoard board;
  const TimePoint now = Clock::now();
  for (int daemon = 0; daemon < 26; ++daemon) {
    board.take(report(1, 4), now + milliseconds(daemon * 20));
  }
  const auto summary = board.summary(now + milliseconds(520));
  cr_assert(summary.size() == 1);
  cr_assert(summary[0].samples > 12);
  cr_assert(summary[0].excess > 3.9);
}

Test(report_board, one_daemon_does_not_outweigh_the_zone) {
  ReportBoard board;
  const TimePoint now = Clock::now();
  board.take(report(1000, 4), now);
  for (int daemon = 0; daemon < 25; ++daemon) {
    board.take(report(4, 0), now);
  }
  cr_assert(board.summary(now).empty());
}

Test(report_board, a_recovered_leaf_is_reported_once_more) {
  ReportBoard board;
  TimePoint now = Clock::now();
  board.take(report(4, 4), now);
  cr_assert(board.summary(now).size() == 1);
  now += milliseconds(2000);
  board.take(report(8, 0), now);
  const auto recovered = board.summary(now);
  cr_assert(recovered.size() == 1);
  cr_assert(!recovered[0].is_notable());
  cr_assert(board.summary(now).empty());
}

// Guards against a recovered leaf that is still considered slow.
Test(report_board, a_leaf_found_recovered_after_a_pause_is_reported) {
  ReportBoard board;
  TimePoint now = Clock::now();
  board.take(report(4, 4), now);
  cr_assert(board.summary(now).size() == 1);
  now += std::chrono::seconds(20);
  cr_assert(board.summary(now).empty());
  board.take(report(1, 0), now);
  const auto recovered = board.summary(now);
  cr_assert(recovered.size() == 1);
  cr_assert(!recovered[0].is_notable());
}

Test(report_board, old_reports_expire) {
  ReportBoard board;
  const TimePoint now = Clock::now();
  board.take(report(4, 4), now);
  cr_assert(board.summary(now + std::chrono::seconds(10)).empty());
}

Test(report_board, failures_are_notable_too) {
  ReportBoard board;
  const TimePoint now = Clock::now();
  board.take(report(4, 0, 0.5), now);
  cr_assert(board.summary(now).size() == 1);
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
