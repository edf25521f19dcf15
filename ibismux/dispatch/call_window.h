#ifndef IBISMUX_DISPATCH_CALL_WINDOW_H_
#define IBISMUX_DISPATCH_CALL_WINDOW_H_

#include <cstddef>

#include "ibismux/base/time.h"
#include "ibismux/concurrency/aimd_limit.h"

namespace ibismux::dispatch {

/// How many calls one daemon lets a leaf have at once, learnt from how long
/// they take.
///
/// Daemons don't know of each other's calls, and a leaf works on few at once.
/// What is more than it works on waits in its queue, where nothing can be
/// dropped any more and nothing urgent goes first; what is more than its queue
/// holds is turned away. So calls wait at the daemon as soon as they take long
/// for the load.
///
/// Holds no clock. Not thread safe.
class CallWindow {
 public:
  /// The most that the window may grow to: the links that the daemon may have.
  void set_most(std::size_t most) { this->limit.set_slots(most); }

  /// At least 1.
  [[nodiscard]] std::size_t size() const noexcept {
    return static_cast<std::size_t>(this->limit.limit());
  }

  /// @param unloaded What the call takes while leafs have no queues.
  /// @param in_flight Calls that the leaf had from this daemon, this one
  /// included.
  void on_answer(Duration took,
                 Duration unloaded,
                 std::size_t in_flight,
                 TimePoint now);

  /// The leaf had no room for a call.
  void on_turned_away(TimePoint now) { this->limit.on_overload(now); }

 private:
  static constexpr double kCeiling = 1;

  concurrency::AimdLimit limit{1, kCeiling};
  double load = 1;  ///< What calls take, in times the unloaded time.
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_CALL_WINDOW_H_
