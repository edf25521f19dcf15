#include "ibismux/history/history_checker.h"

#include "ibismux/history/record_reader.h"
#include "tests/history/naive_tier.h"

#include <criterion/criterion.h>

namespace ibismux::history {
namespace {

constexpr std::size_t kRequests = 400;
constexpr std::uint64_t kSeed = 7;

CheckCounts check_lines(const std::vector<std::string>& lines,
                        CheckSettings settings = {}) {
  HistoryChecker checker(settings, [](const Violation&) {});
  checker.check([&lines](const HistoryChecker::Visit& visit) {
    for (const std::string& line : lines) {
      visit(line);
    }
  });
  return checker.counts();
}

std::size_t found(const CheckCounts& counts, ViolationKind kind) {
  return counts.violations[static_cast<std::size_t>(kind)];
}

CheckCounts check_naive(Blunder blunder) {
  return check_lines(NaiveTier(kSeed, blunder).record(kRequests));
}

/// The blunder shows as violations of `kind`, and of no other kind.
bool shows_only(Blunder blunder, ViolationKind kind) {
  const CheckCounts counts = check_naive(blunder);
  return found(counts, kind) > 0 &&
         found(counts, kind) == counts.total_violations();
}

Test(history_checker, a_tier_that_does_all_right_has_no_violation) {
  const CheckCounts counts = check_naive(Blunder::kNone);
  cr_assert(counts.total_violations() == 0);
  cr_assert(counts.queries == kRequests / 4);
  cr_assert(counts.reservations > kRequests / 2);
  cr_assert(counts.runs > kRequests / 2);
}

Test(history_checker, catches_double_executions) {
  cr_assert(shows_only(Blunder::kResendsLostReservations,
                       ViolationKind::kDoubleExecution));
  cr_assert(shows_only(Blunder::kForgetsKeys, ViolationKind::kDoubleExecution));
}

Test(history_checker, catches_every_false_not_run) {
  cr_assert(
      shows_only(Blunder::kSaysNotRunOnTimeout, ViolationKind::kFalseNotRun));
  cr_assert(
      shows_only(Blunder::kSaysNotRunOfRetry, ViolationKind::kFalseNotRun));
  cr_assert(shows_only(Blunder::kRunsAfterNotRun, ViolationKind::kFalseNotRun));
}

Test(history_checker, catches_false_answers) {
  cr_assert(
      shows_only(Blunder::kMixesSnapshots, ViolationKind::kMixedSnapshot));
  cr_assert(
      shows_only(Blunder::kCountsLateShards, ViolationKind::kFalseCoverage));
  cr_assert(
      shows_only(Blunder::kMiscountsTotal, ViolationKind::kFalseCoverage));
  cr_assert(shows_only(Blunder::kCrossesAnswers, ViolationKind::kForeignPart));
  cr_assert(
      shows_only(Blunder::kCrossesReservations, ViolationKind::kForeignPart));
}

Test(history_checker, catches_faults_of_change) {
  cr_assert(shows_only(Blunder::kKeepsLeavingLeafs,
                       ViolationKind::kWorkAfterLeaving));
  cr_assert(shows_only(Blunder::kCutsRequests, ViolationKind::kCutRequest));
  cr_assert(shows_only(Blunder::kRevertsConfiguration,
                       ViolationKind::kRevertedGeneration));
  cr_assert(
      shows_only(Blunder::kSlowConfiguration, ViolationKind::kLateInForce));
}

Test(history_checker, counts_cuts_without_blame_where_daemons_were_killed) {
  CheckSettings settings;
  settings.cuts_allowed = true;
  const CheckCounts counts = check_lines(
      NaiveTier(kSeed, Blunder::kCutsRequests).record(kRequests), settings);
  cr_assert(counts.cuts > 0);
  cr_assert(counts.total_violations() == 0);
}

Test(history_checker, work_for_a_leaf_that_serves_again_is_right) {
  const std::string run =
      R"({"type":"run","leaf":"l","kind":"query","begin_us":9000000})";
  const std::string leaving =
      R"({"type":"leaving","leaf":"l","at_us":1000000})";
  const std::string serving =
      R"({"type":"serving","leaf":"l","at_us":5000000})";
  cr_assert(check_lines({run, leaving, serving}).total_violations() == 0);
  cr_assert(found(check_lines({run, leaving}),
                  ViolationKind::kWorkAfterLeaving) == 1);
}

Test(history_checker,
     a_retry_that_runs_does_not_make_an_earlier_refusal_false) {
  const std::string refused =
      R"({"type":"reservation","request_id":"r1","key":"k","body_hash":"b",)"
      R"("sent_us":1,"done_us":5,"status":503,"execution":"not_run"})";
  const std::string ran =
      R"({"type":"reservation","request_id":"r2","key":"k","body_hash":"b",)"
      R"("sent_us":6,"done_us":9,"status":200,"state":"run",)"
      R"("result":"k|b|c"})";
  const std::string run =
      R"({"type":"run","kind":"reserve","key":"k","body_hash":"b",)"
      R"("call_id":"c","begin_us":7})";
  cr_assert(check_lines({refused, ran, run}).total_violations() == 0);
  cr_assert(found(check_lines({refused, run}), ViolationKind::kFalseNotRun) ==
            1);
}

Test(history_checker, odd_lines_are_reported_or_passed_over) {
  const CheckCounts counts =
      check_lines({"", "{", "[]", R"({"type":"run","begin_us":"x"})",
                   R"({"type":"query","total":-1})", R"({"type":"new_type"})"});
  cr_assert(found(counts, ViolationKind::kUnreadable) == 4);
}

Test(record_reader, reads_what_the_writers_write) {
  auto record = read_record(
      R"({"type":"in_force","member":"m","incarnation":18446744073709551615,)"
      R"("generation":3,"at_us":4})");
  const auto* seen = std::get_if<InForceRecord>(&*record);
  cr_assert(seen != nullptr);
  cr_assert(seen->incarnation == "18446744073709551615");
  cr_assert(seen->generation == 3);
}

}  // namespace
}  // namespace ibismux::history
