#ifndef IBISMUX_EDGE_EDGE_SETTINGS_H_
#define IBISMUX_EDGE_EDGE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <span>
#include <string>

#include "ibismux/base/zone_regions.h"
#include "ibismux/dispatch/dispatch_policy.h"
#include "ibismux/settings/field.h"

namespace ibismux::edge {

/// The settings file of an edge daemon. `edge_settings.cc` defines the meaning
/// and bounds of each key; the defaults are the initial values here.
struct EdgeSettings : dispatch::DispatchPolicy {
  using Millis = std::chrono::milliseconds;

  /// @name Identity of this daemon
  /// @{
  std::string member;
  std::string zone;
  ZoneRegions zone_regions;
  double link_mbps = 0;
  /// @}

  /// @name Endpoints this daemon listens on
  /// @{
  std::string caller_endpoint;
  std::string ready_endpoint;
  std::string metrics_endpoint = "127.0.0.1:9090";
  /// @}

  /// @name The other daemons
  /// @{
  std::string peer_endpoint;  ///< Empty: this daemon has no peers.
  std::uint32_t hosts = 10;
  std::uint32_t watchers = 1;
  bool first_start = false;
  /// @}

  /// @name The platform's object store
  /// @{
  std::string store_endpoint;
  double fleet_reads_per_second = 1000;
  double fleet_writes_per_second = 300;
  Millis watch_wait{25'000};
  Millis change_pause{300};
  Millis check_interval{1000};
  /// @}

  /// @name Calls to leafs
  /// @{
  double repeat_ratio = 0.2;
  double repeat_slack = 50;
  double remote_cost = 1.0;
  std::uint32_t response_memory_mb = 64;
  /// @}

  /// @name Limits of customers
  /// @{
  Millis rate_window{5000};
  double rate_overage = 0;
  double rate_slack = 0;
  /// @}

  /// @name Shutdown
  /// @{
  Millis stop_limit{6000};
  Millis leave_notice{2500};
  /// @}

  /// @name Logging, in lines per second
  /// @{
  std::uint32_t log_ordinary = 20;
  std::uint32_t log_failures = 200;
  std::uint32_t log_beliefs = 1000;
  /// @}
};

/// All keys of the settings file, by group. Thread safe.
[[nodiscard]] std::span<const settings::Field<EdgeSettings>>
edge_fields() noexcept;

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_EDGE_SETTINGS_H_
