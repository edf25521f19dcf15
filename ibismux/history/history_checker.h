#ifndef IBISMUX_HISTORY_HISTORY_CHECKER_H_
#define IBISMUX_HISTORY_HISTORY_CHECKER_H_

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "ibismux/history/check_settings.h"
#include "ibismux/history/configuration_rules.h"
#include "ibismux/history/history_record.h"
#include "ibismux/history/leaving_rules.h"
#include "ibismux/history/query_rules.h"
#include "ibismux/history/reservation_rules.h"
#include "ibismux/history/run_index.h"
#include "ibismux/history/violation.h"

namespace ibismux::history {

/// How much a history held, and what was wrong with it.
struct CheckCounts {
  std::size_t queries = 0;
  std::size_t reservations = 0;
  std::size_t runs = 0;
  std::size_t cuts = 0;  ///< Also where they are allowed.
  std::array<std::size_t, kViolationKinds> violations{};

  [[nodiscard]] std::size_t total_violations() const;
};

/// Checks a history that is read three times over, so that only reservations,
/// and a hash of each run, need to be kept. Not thread safe.
///
///     HistoryChecker checker(settings, print);
///     checker.check(for_each_line);
class HistoryChecker {
 public:
  using Visit = std::function<void(std::string_view line)>;
  /// Calls its argument for each line of the history; the same each time.
  using Source = std::function<void(const Visit&)>;

  /// @param report Takes each violation, in no certain order.
  HistoryChecker(CheckSettings settings, Report report);
  HistoryChecker(const HistoryChecker&) = delete;
  HistoryChecker& operator=(const HistoryChecker&) = delete;

  /// Call it once.
  void check(const Source& lines);

  [[nodiscard]] const CheckCounts& counts() const noexcept {
    return this->results;
  }

 private:
  void survey(std::string_view line);
  void collect_runs(std::string_view line);
  void judge_queries(std::string_view line);
  void tell(const Violation& violation);

  const CheckSettings settings;
  const Report report;
  const Report counted;  ///< Counts, then reports.
  CheckCounts results;
  RunIndex runs;
  QueryRules queries;
  ReservationRules reservations;
  LeavingRules leaving;
  ConfigurationRules configuration;
};

}  // namespace ibismux::history

#endif  // IBISMUX_HISTORY_HISTORY_CHECKER_H_
