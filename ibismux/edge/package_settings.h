#ifndef IBISMUX_EDGE_PACKAGE_SETTINGS_H_
#define IBISMUX_EDGE_PACKAGE_SETTINGS_H_

#include <cstdint>

#include "ibismux/base/time.h"
#include "ibismux/customers/rate_limiter.h"
#include "ibismux/dispatch/dispatch_settings.h"
#include "ibismux/edge/edge_settings.h"
#include "ibismux/edge/fleet.h"
#include "ibismux/eventlog/event_log.h"
#include "ibismux/store/platform_settings.h"

namespace ibismux::edge {

/// A random number, different at each call. Thread safe.
[[nodiscard]] std::uint64_t random_number();

/// @name Settings of each package, derived from the daemon's. Thread safe.
/// @{
[[nodiscard]] store::PlatformSettings store_settings(
    const EdgeSettings& settings);
[[nodiscard]] dispatch::DispatchSettings dispatch_settings(
    const EdgeSettings& settings);
[[nodiscard]] customers::RateLimiter::Settings rate_settings(
    const EdgeSettings& settings);
[[nodiscard]] Fleet::Settings fleet_settings(const EdgeSettings& settings);
[[nodiscard]] eventlog::EventLogSettings log_settings(
    const EdgeSettings& settings);
/// @}

/// How long this daemon waits for other daemons to read the store when the
/// whole fleet starts for the first time. Randomized, so that the daemons that
/// read first can pass the contents on to the rest. Thread safe.
[[nodiscard]] Duration first_start_read_delay();

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_PACKAGE_SETTINGS_H_
