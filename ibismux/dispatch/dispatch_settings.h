#ifndef IBISMUX_DISPATCH_DISPATCH_SETTINGS_H_
#define IBISMUX_DISPATCH_DISPATCH_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "ibismux/base/zone_regions.h"
#include "ibismux/dispatch/dispatch_policy.h"

namespace ibismux::dispatch {

/// How this daemon deals with leafs.
struct DispatchSettings {
  std::string member;  ///< Name of this host.
  std::string zone;    ///< Its availability zone.
  ZoneRegions zone_regions;

  /// Extra arrivals (hedges and retries) at a service, as a share of its first
  /// arrivals. Shares of all daemons add up to the same share of the whole.
  double repeat_share = 0.17;
  /// Extra arrivals that a service bears besides, in some seconds, from all
  /// daemons together. Each daemon may save up its part of them.
  double repeat_slack = 50;

  /// Daemons that are assumed until it is known how many there are.
  std::size_t hosts = 10;

  /// What a leaf of another zone must be better by, in times of what a call
  /// usually takes: traffic between zones is paid for, and takes longer.
  double remote_cost = 1.0;

  DispatchPolicy policy;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_DISPATCH_SETTINGS_H_
