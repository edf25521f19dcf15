#ifndef IBISMUX_DISPATCH_CALL_WINDOW_H_
#define IBISMUX_DISPATCH_CALL_WINDOW_H_

#include <cstddef>

#include "ibismux/base/time.h"
#include "ibismux/concurrency/aimd_limit.h"

namespace ibismux::dispatch {

/// Adaptive limit on the concurrent calls of one daemon to one leaf, derived
/// from the latency of those calls.
///
/// Daemons don't know of each other's calls, and a leaf executes only a few
/// calls at once. Further calls wait in the leaf's queue, where they can
/// neither be cancelled nor overtaken by more urgent ones; calls beyond the
/// capacity of that queue are rejected. The limit therefore falls as soon as
/// latency shows queueing at the leaf, so that calls wait at the daemon
/// instead.
///
/// Doesn't read the clock. Not thread safe.
class CallWindow {
 public:
  /// The upper bound of the window: the links that the daemon may have.
  void set_max(std::size_t max) { this->limit.set_slots(max); }

  /// At least 1.
  [[nodiscard]] std::size_t size() const noexcept {
    return static_cast<std::size_t>(this->limit.limit());
  }

  /// @param unloaded_latency Latency of such a call while leafs have no queues.
  /// @param in_flight Calls of this daemon at the leaf, including this one.
  void on_answer(Duration took,
                 Duration unloaded_latency,
                 std::size_t in_flight,
                 TimePoint now);

  /// The leaf rejected a call for lack of capacity.
  void on_rejected(TimePoint now) { this->limit.on_overload(now); }

 private:
  static constexpr double kCeiling = 1;

  concurrency::AimdLimit limit{1, kCeiling};
  double average_ratio = 1;  ///< Moving average of latency / unloaded latency.
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_CALL_WINDOW_H_
