#ifndef IBISMUX_DISPATCH_DISPATCH_SETTINGS_H_
#define IBISMUX_DISPATCH_DISPATCH_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <string>

namespace ibismux::dispatch {

/// How this daemon deals with leafs.
struct DispatchSettings {
  std::string zone;  ///< Availability zone of this host.

  /// Extra arrivals (hedges and retries) at a service, as a share of its first
  /// arrivals. Shares of all daemons add up to the same share of the whole.
  double repeat_share = 0.17;
  /// Extra arrivals that a daemon may save up for one service. Over all daemons
  /// the savings add up to what a service bears beyond the share.
  double repeat_burst = 6;

  /// Daemons among which a leaf's connections are divided.
  std::size_t hosts = 10;
  /// Part of a leaf's connections that the daemons use together; the rest is
  /// for links that are closing and hosts that were just replaced.
  double connection_share = 0.9;

  /// What a leaf of another zone must be better by, as a share of the route's
  /// objective: traffic between zones is paid for.
  double remote_cost = 0.1;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_DISPATCH_SETTINGS_H_
