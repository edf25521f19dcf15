#ifndef IBISMUX_DISPATCH_DISPATCH_SETTINGS_H_
#define IBISMUX_DISPATCH_DISPATCH_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "ibismux/base/zone_regions.h"
#include "ibismux/dispatch/dispatch_policy.h"

namespace ibismux::dispatch {

/// Settings of the dispatcher of this daemon.
struct DispatchSettings {
  std::string member;  ///< Name of this host.
  std::string zone;    ///< Its availability zone.
  ZoneRegions zone_regions;

  /// Repeats (hedges and retries) that may be sent to a service, as a share of
  /// the first attempts there. As each daemon keeps to this share of its own
  /// first attempts, the whole fleet keeps to it too.
  double repeat_share = 0.17;
  /// Repeats beyond that share which a service can handle within a few seconds
  /// from all daemons together. The burst of each daemon's repeat budget is its
  /// part of this number.
  double repeat_slack = 50;

  /// Number of daemons assumed until the size of the fleet is known.
  std::size_t hosts = 10;

  /// Penalty on leafs of other zones, in multiples of the typical call latency:
  /// traffic between zones is charged for and takes longer.
  double remote_cost = 1.0;

  DispatchPolicy policy;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_DISPATCH_SETTINGS_H_
