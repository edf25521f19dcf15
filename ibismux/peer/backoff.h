#ifndef IBISMUX_PEER_BACKOFF_H_
#define IBISMUX_PEER_BACKOFF_H_

#include <chrono>

#include "ibismux/base/time.h"

namespace ibismux::peer {

/// When a failed dial may be repeated: the pause doubles up to a limit, and
/// jitter keeps daemons that lost the same peer from dialling it together.
///
/// Not thread safe.
class Backoff {
 public:
  Backoff(std::chrono::milliseconds first, std::chrono::milliseconds most)
      : first(first), most(most) {}

  /// @param random In [0, 1).
  void failed(TimePoint now, double random) {
    const auto longer = this->pause * 2;
    this->pause = this->pause.count() == 0 ? this->first
                  : longer < this->most    ? longer
                                           : this->most;
    // Between half of the pause and the whole.
    const auto half =
        std::chrono::duration<double, std::milli>(this->pause) / 2;
    this->until = now + std::chrono::duration_cast<Duration>(half) +
                  std::chrono::duration_cast<Duration>(half * random);
  }

  void succeeded() noexcept {
    this->pause = std::chrono::milliseconds(0);
    this->until = TimePoint::min();
  }

  [[nodiscard]] bool may_dial(TimePoint now) const noexcept {
    return now >= this->until;
  }

 private:
  std::chrono::milliseconds first;
  std::chrono::milliseconds most;
  std::chrono::milliseconds pause{0};
  TimePoint until = TimePoint::min();
};

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_BACKOFF_H_
