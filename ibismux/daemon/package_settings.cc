#include "ibismux/daemon/package_settings.h"

#include "ibismux/settings/settings.h"

namespace ibismux::daemon {

store::PlatformSettings platform_settings(const settings::Settings& settings) {
  store::PlatformSettings result;
  result.address = settings.platform_address;
  result.port = static_cast<std::uint16_t>(settings.platform_port);
  result.budget.per_second = {
      static_cast<double>(settings.fleet_reads_per_second),
      static_cast<double>(settings.fleet_writes_per_second),
      static_cast<double>(settings.fleet_watches_per_second)};
  return result;
}

peer::PeerSettings peer_settings(const settings::Settings& settings) {
  peer::PeerSettings result;
  result.listen_address = settings.peer_address;
  result.port = static_cast<std::uint16_t>(settings.peer_port);
  result.cluster = settings.cluster;
  result.member = settings.member;
  result.zone = settings.zone;
  return result;
}

membership::MembershipSettings membership_settings(
    const settings::Settings& settings) {
  membership::MembershipSettings result;
  result.probe_interval = settings.probe_interval;
  return result;
}

reservation::ReservationSettings reservation_settings(
    const settings::Settings& settings) {
  reservation::ReservationSettings result;
  result.retention = std::chrono::duration_cast<std::chrono::seconds>(
      settings.claim_retention);
  return result;
}

http::ServerLimits caller_limits(const settings::Settings& settings) {
  http::ServerLimits limits;
  limits.header_bytes = settings.caller_header_bytes;
  limits.body_bytes = settings.caller_body_bytes;
  limits.connections = settings.caller_connections;
  limits.idle_timeout = settings.caller_idle_timeout;
  limits.transfer_timeout = settings.caller_transfer_timeout;
  limits.keyed_requests = true;
  return limits;
}

}  // namespace ibismux::daemon
