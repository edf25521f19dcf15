#ifndef IBISMUX_GATEWAY_RUNNING_CALLS_H_
#define IBISMUX_GATEWAY_RUNNING_CALLS_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/base/time.h"

namespace ibismux::gateway {

class CallGroup;

/// One call that a leaf runs.
struct RunningCall {
  std::shared_ptr<CallGroup> group;
  TimePoint deadline;
  TimePoint started;
  Duration queue_time{};
  bool answered = false;   ///< Its caller has its answer.
  bool cancelled = false;  ///< The leaf was asked to stop it.
};

/// The calls that one leaf runs, by id and by deadline.
///
/// Holds no clock. Not thread safe.
class RunningCalls {
 public:
  void add(const CallId& id, RunningCall call);

  /// Null where the call does not run. Valid until the call is removed.
  [[nodiscard]] RunningCall* find(const CallId& id);

  /// Removes a call. Precondition: it runs.
  [[nodiscard]] RunningCall remove(const CallId& id);

  /// The calls whose deadline is at or before `now`, each once.
  [[nodiscard]] std::vector<CallId> pass_deadlines(TimePoint now);

  /// Those that still run although their deadline passed at or before `since`,
  /// each once.
  [[nodiscard]] std::vector<CallId> take_overdue(TimePoint since);

  /// The earliest deadline that has not been passed.
  [[nodiscard]] std::optional<TimePoint> next_deadline() const;

  [[nodiscard]] std::size_t size() const noexcept { return this->calls.size(); }
  [[nodiscard]] bool empty() const noexcept { return this->calls.empty(); }

 private:
  using Due = std::set<std::pair<TimePoint, CallId>>;

  [[nodiscard]] static std::vector<CallId> take_until(Due& due, TimePoint now);

  std::unordered_map<CallId, RunningCall> calls;
  Due ahead;   ///< Deadlines to come.
  Due behind;  ///< Deadlines that passed.
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_RUNNING_CALLS_H_
