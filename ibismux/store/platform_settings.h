#ifndef IBISMUX_STORE_PLATFORM_SETTINGS_H_
#define IBISMUX_STORE_PLATFORM_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "ibismux/store/fleet_budget.h"
#include "ibismux/store/platform_health.h"

namespace ibismux::store {

/// Where the platform is and how this daemon may use it.
struct PlatformSettings {
  std::string address;  ///< IP number.
  std::uint16_t port = 0;
  /// No call but a watch takes longer, whatever deadline its caller gives.
  std::chrono::milliseconds call_timeout{3000};
  /// How much longer than its `wait` a watch may take.
  std::chrono::milliseconds watch_grace{2000};
  std::size_t idle_connections = 4;
  /// See `http::ClientOptions`; absent: the system's own limits.
  std::optional<std::chrono::seconds> silence_limit;
  FleetBudget budget;
  /// How many daemons share the budget until the membership says it.
  std::size_t members = 7;
  HealthSettings health;
};

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_PLATFORM_SETTINGS_H_
