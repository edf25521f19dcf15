#ifndef IBISMUX_FEED_OUTAGE_PROBES_H_
#define IBISMUX_FEED_OUTAGE_PROBES_H_

#include <chrono>
#include <cstdint>
#include <pcg_random.hpp>

#include "ibismux/base/time.h"

namespace ibismux::feed {

/// Decides how long a daemon waits until it asks a store again that has not
/// answered it.
///
/// Answers the load of a large fleet whose store is away: a few daemons of each
/// zone ask often and tell the others, which ask seldom.
///
/// Uses no sockets and reads no clock; not thread safe.
class OutageProbes {
 public:
  /// Pause of a daemon on which others rely, or that is alone.
  static constexpr std::chrono::milliseconds kProberPause{300};
  /// First and longest pause of the others; each waits a random part of it, at
  /// least half.
  static constexpr std::chrono::milliseconds kFirstPause{600};
  static constexpr std::chrono::milliseconds kMaxPause{2000};

  /// @param seed Differs between daemons.
  explicit OutageProbes(std::uint64_t seed) : random(seed) {}

  /// The store has not answered. @param asks_often Whether others rely on this
  /// daemon, or it is alone. @return Until the next question.
  [[nodiscard]] Duration on_failure(bool asks_often);

  /// The store has answered, this daemon or a peer.
  void on_answer() noexcept { this->failures = 0; }

 private:
  pcg32 random;
  int failures = 0;  ///< In a row, while this daemon asked seldom.
};

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_OUTAGE_PROBES_H_
