#ifndef IBISMUX_DAEMON_PACKAGE_SETTINGS_H_
#define IBISMUX_DAEMON_PACKAGE_SETTINGS_H_

#include "ibismux/http/server.h"
#include "ibismux/membership/membership_settings.h"
#include "ibismux/peer/peer_settings.h"
#include "ibismux/reservation/reservation_settings.h"
#include "ibismux/settings/forward.h"
#include "ibismux/store/platform_settings.h"

namespace ibismux::daemon {

/// @name A package's settings, out of the daemon's. Thread safe.
/// @{
[[nodiscard]] store::PlatformSettings platform_settings(
    const settings::Settings& settings);
[[nodiscard]] peer::PeerSettings peer_settings(
    const settings::Settings& settings);
[[nodiscard]] membership::MembershipSettings membership_settings(
    const settings::Settings& settings);
[[nodiscard]] reservation::ReservationSettings reservation_settings(
    const settings::Settings& settings);
[[nodiscard]] http::ServerLimits caller_limits(
    const settings::Settings& settings);
/// @}

}  // namespace ibismux::daemon

#endif  // IBISMUX_DAEMON_PACKAGE_SETTINGS_H_
