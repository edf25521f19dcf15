#ifndef IBISMUX_STARTUP_START_GATE_H_
#define IBISMUX_STARTUP_START_GATE_H_

#include <cstddef>
#include <optional>

#include "ibismux/base/time.h"
#include "ibismux/base/waiting_room.h"
#include "ibismux/startup/need.h"

namespace ibismux::startup {

/// Decides what happens to requests that arrive before a daemon that has just
/// started has what it needs to serve them: they wait if what they lack usually
/// comes while they can still be answered in time, and are refused at once
/// otherwise, with the time at which the daemon is likely to serve them.
///
/// Answers the load of a fleet whose hosts have all lost power at the same
/// moment, and whose callers all come back within a second.
///
/// Uses no sockets and reads no clock; not thread safe. The times passed in
/// must not decrease.
class StartGate {
 public:
  /// A daemon that has run for longer lacks nothing because of its start.
  static constexpr std::chrono::seconds kStartPeriod{4};

  struct Settings {
    /// Requests that wait at the same time, and the bytes of their bodies.
    std::size_t max_waiting = 64;
    std::size_t max_waiting_bytes = 1 << 20;
  };

  struct Decision {
    /// Until when the request may wait; absent if it is refused now.
    std::optional<TimePoint> wait_until;
    /// If it is refused, now or at `wait_until`.
    std::chrono::milliseconds retry_after{0};
    bool is_starting = false;  ///< What it lacks may be due to the start.
  };

  /// @param started When the process has started.
  StartGate(Settings settings, TimePoint started) noexcept
      : room({settings.max_waiting, settings.max_waiting_bytes}),
        started(started) {}

  /// Decides about a request that lacks `need`.
  /// @param latest_start When it must start to be answered within its
  /// objective.
  /// @param bytes Held while it waits.
  [[nodiscard]] Decision decide(Need need,
                                TimePoint latest_start,
                                std::size_t bytes,
                                TimePoint now);

  /// A request waits no longer. Precondition: `decide()` has let it wait, with
  /// the same `bytes`.
  void release(std::size_t bytes) noexcept { this->room.leave(bytes); }

 private:
  WaitingRoom room;
  const TimePoint started;
};

}  // namespace ibismux::startup

#endif  // IBISMUX_STARTUP_START_GATE_H_
