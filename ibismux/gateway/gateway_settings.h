#ifndef IBISMUX_GATEWAY_GATEWAY_SETTINGS_H_
#define IBISMUX_GATEWAY_GATEWAY_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "ibismux/base/time.h"

namespace ibismux::gateway {

/// What an operator may tune of a gateway; the defaults fit the sizes that the
/// project was built for.
struct GatewaySettings {
  /// Calls that may wait for a leaf, for each of its slots.
  std::size_t queued_per_slot = 64;
  /// Most that a leaf's limit may grow to, as a multiple of its slots.
  double most_limit_per_slot = 1.5;
  /// How long a connection may take to open.
  Duration connect_timeout = std::chrono::seconds(1);
  /// How long after a call's deadline the leaf's word that it stopped is
  /// awaited, before the connection is given up.
  Duration stop_grace = std::chrono::seconds(2);
  /// Pause after a failed connection; doubles up to `longest_pause`.
  Duration reconnect_pause = std::chrono::milliseconds(50);
  Duration longest_pause = std::chrono::seconds(2);
  /// The same while no connection to the leaf is open.
  Duration longest_pause_alone = std::chrono::milliseconds(250);
  /// How long a leaf that said it leaves gets nothing, whatever it says of its
  /// health, which lags.
  Duration leaving_hold = std::chrono::seconds(5);
  /// Failures in a row after which a leaf is ejected for a while.
  std::size_t failures_to_eject = 5;
  Duration ejection = std::chrono::seconds(1);
  /// The part of this daemon's leafs that may be ejected at once.
  double most_ejected = 0.2;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_GATEWAY_SETTINGS_H_
