#ifndef IBISMUX_HISTORY_RESERVATION_RULES_H_
#define IBISMUX_HISTORY_RESERVATION_RULES_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "ibismux/history/history_record.h"
#include "ibismux/history/violation.h"

namespace ibismux::history {

/// Checks reservations against the leafs' runs: at most one run a key, true
/// "not run", results given to the key they belong to. Not thread safe.
///
/// A request without a key is told from others by its body. Of such requests
/// with one body, each that was not refused as "not run" may have run once.
///
/// "Not run" of a key is false where a run of it began before the request was
/// sent, or where a run can't be due to any other attempt: one that was sent
/// before the run began and was not itself answered "not run".
class ReservationRules {
 public:
  /// `report` outlives the object.
  explicit ReservationRules(const Report& report) : report(report) {}

  void add(const ReservationRecord& reservation);
  void add(const RunRecord& run);
  /// After all records.
  void check();

  [[nodiscard]] std::size_t reservations() const noexcept {
    return this->reservation_count;
  }

 private:
  struct Attempt {
    std::string request_id;
    std::string service;
    std::string body_hash;
    std::string error;
    std::string result;
    Instant sent{};
    bool not_run = false;
    bool may_run = true;  ///< Sent, and not answered "not run".
  };
  struct Run {
    std::string call_id;
    std::string leaf;
    std::string body_hash;
    Instant begin{};
  };
  /// All that bears one key, or one body where there is no key.
  struct Group {
    std::string key;
    std::vector<Attempt> attempts;
    std::vector<Run> runs;
  };

  Group& group_of(const std::string& key, const std::string& body_hash);
  void check_executions(const Group& group);
  void check_not_run(const Group& group, std::size_t attempt);
  void check_result(const Group& group, const Attempt& attempt);
  [[nodiscard]] static bool explained(const Group& group,
                                      const Run& run,
                                      std::size_t except);
  [[nodiscard]] static std::size_t allowed_runs(const Group& group);

  const Report& report;
  std::unordered_map<std::string, Group> groups;
  std::size_t reservation_count = 0;
  std::size_t run_count = 0;
};

}  // namespace ibismux::history

#endif  // IBISMUX_HISTORY_RESERVATION_RULES_H_
