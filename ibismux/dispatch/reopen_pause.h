#ifndef IBISMUX_DISPATCH_REOPEN_PAUSE_H_
#define IBISMUX_DISPATCH_REOPEN_PAUSE_H_

#include <algorithm>
#include <chrono>

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// When a link that was opened ahead of calls, and that the leaf closed before
/// any came, is opened again.
///
/// Leafs close idle connections, some after less time than lies between two
/// calls of a daemon. Opened again at once each time, such links would be all
/// that the leaf's connections and this host's processor are spent on; so the
/// pause doubles with each link that ended unused, and the first call ends it.
///
/// Not thread safe. The times given never go back.
class ReopenPause {
 public:
  /// A link ended over which no call ever went.
  void on_unused_end(TimePoint now) noexcept {
    this->pause = std::clamp<Duration>(this->pause * 2, kFirst, kLongest);
    this->until = now + this->pause;
  }

  /// A call went over a link.
  void on_use() noexcept {
    this->pause = Duration::zero();
    this->until = TimePoint::min();
  }

  /// Whether a link may be opened ahead now.
  [[nodiscard]] bool is_over(TimePoint now) const noexcept {
    return now >= this->until;
  }

 private:
  // About the shortest time after which leafs close idle connections.
  static constexpr std::chrono::milliseconds kFirst{1000};
  // Some minutes' worth of links in an hour without calls, and never so late
  // that a daemon which gets calls again waits long for its links.
  static constexpr std::chrono::milliseconds kLongest{30'000};

  Duration pause{0};
  TimePoint until = TimePoint::min();
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_REOPEN_PAUSE_H_
