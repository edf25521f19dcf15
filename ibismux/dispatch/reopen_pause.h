#ifndef IBISMUX_DISPATCH_REOPEN_PAUSE_H_
#define IBISMUX_DISPATCH_REOPEN_PAUSE_H_

#include <algorithm>
#include <chrono>

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// Exponential backoff for reopening links that were opened ahead of calls and
/// that the leaf closed before they carried a call.
///
/// Leafs close idle connections, some of them after less time than passes
/// between two calls of a daemon. Reopening such links immediately would use up
/// the connections of the leaf and the CPU time of this host. The pause
/// therefore doubles with each link that ended unused, and the first call
/// resets it.
///
/// Not thread safe. Time arguments must not decrease.
class ReopenPause {
 public:
  /// A link was closed without having carried a call.
  void on_unused_end(TimePoint now) noexcept {
    this->pause = std::clamp<Duration>(this->pause * 2, kMinPause, kMaxPause);
    this->paused_until = now + this->pause;
  }

  /// A link has carried a call.
  void on_use() noexcept {
    this->pause = Duration::zero();
    this->paused_until = TimePoint::min();
  }

  /// Whether a link may be opened ahead of calls now.
  [[nodiscard]] bool is_over(TimePoint now) const noexcept {
    return now >= this->paused_until;
  }

 private:
  // About the shortest idle timeout of leafs.
  static constexpr std::chrono::milliseconds kMinPause{1000};
  // An hour without calls costs as many links as a few minutes would without
  // pauses, and a daemon that gets calls again doesn't wait long for its links.
  static constexpr std::chrono::milliseconds kMaxPause{30'000};

  Duration pause{0};
  TimePoint paused_until = TimePoint::min();
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_REOPEN_PAUSE_H_
