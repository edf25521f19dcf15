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

/// Everything an edge daemon reads from its settings file. `edge_settings.cc`
/// gives each key's meaning, bounds and default.
struct EdgeSettings : dispatch::DispatchPolicy {
  using Millis = std::chrono::milliseconds;

  /// @name Who this daemon is
  /// @{
  std::string member;
  std::string zone;
  ZoneRegions zone_regions;
  double link_mbps = 0;
  /// @}

  /// @name Where it listens
  /// @{
  std::string caller_endpoint;
  std::string ready_endpoint;
  std::string metrics_endpoint = "127.0.0.1:9090";
  /// @}

  /// @name The other daemons
  /// @{
  std::string peer_endpoint;  ///< Empty: this daemon goes alone.
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

  /// @name Dealing with leafs
  /// @{
  double repeat_ratio = 0.2;
  double repeat_slack = 50;
  double remote_cost = 1.0;
  /// @}

  /// @name Stopping
  /// @{
  Millis stop_limit{6000};
  Millis leave_notice{2500};
  /// @}

  /// @name Logging, lines a second
  /// @{
  std::uint32_t log_ordinary = 20;
  std::uint32_t log_failures = 200;
  std::uint32_t log_beliefs = 1000;
  /// @}
};

/// Every key there is, group by group. Thread safe.
[[nodiscard]] std::span<const settings::Field<EdgeSettings>>
edge_fields() noexcept;

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_EDGE_SETTINGS_H_
