#ifndef IBISMUX_STARTUP_START_GATE_H_
#define IBISMUX_STARTUP_START_GATE_H_

#include <array>
#include <cstddef>
#include <optional>

#include "ibismux/base/time.h"

namespace ibismux::startup {

/// What a daemon that has just started may still lack to serve a request.
enum class Need : unsigned char { kConfiguration, kLeafs, kRateOwners };

/// Decides what happens to requests that arrive before a daemon that has just
/// started has what it needs to serve them: they wait while what they lack is
/// on its way and would still let them be answered in time, and are refused at
/// once otherwise, with the time at which the daemon is likely to serve them.
///
/// Answers the load of a fleet whose hosts have all lost power at the same
/// moment, and whose callers all come back within a second.
///
/// Uses no sockets and reads no clock; not thread safe. The times passed in
/// must not decrease.
class StartGate {
 public:
  struct Settings {
    /// Requests that wait at the same time, and the bytes of their bodies.
    std::size_t max_waiting = 64;
    std::size_t max_waiting_bytes = 1 << 20;
  };

  /// A request that may wait. Precondition for `release()`: it was let wait.
  struct Waiting {
    std::size_t bytes = 0;
  };

  struct Decision {
    /// Until when the request may wait; absent if it is refused now.
    std::optional<TimePoint> wait_until;
    /// If it is refused, now or at `wait_until`.
    std::chrono::milliseconds retry_after{0};
  };

  StartGate(Settings settings, TimePoint started) noexcept
      : settings(settings), started(started) {}

  /// Records that `need` is met since `now`.
  void on_met(Need need, TimePoint now) noexcept;

  /// Records whether `need` can be expected at all: whether its source, the
  /// store or a peer, has answered lately.
  void on_source(Need need, bool answers, TimePoint now) noexcept;

  /// Decides about a request that lacks `need`.
  /// @param latest_start When it must start to be answered within its
  /// objective.
  [[nodiscard]] Decision decide(Need need,
                                TimePoint latest_start,
                                const Waiting& request,
                                TimePoint now);

  /// A request that was let wait waits no longer.
  void release(const Waiting& request) noexcept;

 private:
  struct State {
    std::optional<TimePoint> met_at;
    bool source_answers = true;
  };

  Settings settings;
  TimePoint started;
  std::array<State, 3> states;  ///< By `Need`.
  std::size_t waiting = 0;
  std::size_t waiting_bytes = 0;
};

}  // namespace ibismux::startup

#endif  // IBISMUX_STARTUP_START_GATE_H_
