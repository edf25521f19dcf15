#ifndef IBISMUX_SETTINGS_SETTINGS_H_
#define IBISMUX_SETTINGS_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace ibismux::settings {

/// Everything a daemon reads from its settings file. `field.h` gives each
/// key's meaning, bounds and default.
struct Settings {
  using Millis = std::chrono::milliseconds;

  /// @name Who this daemon is
  /// @{
  std::string member;
  std::string zone;
  std::string cluster = "ibismux";
  std::uint32_t threads = 2;
  /// @}

  /// @name Towards callers
  /// @{
  std::string caller_address = "0.0.0.0";
  std::uint32_t caller_port = 8080;
  std::uint32_t caller_connections = 4096;
  std::uint32_t caller_body_bytes = 1024 * 1024;
  std::uint32_t caller_header_bytes = 16 * 1024;
  Millis caller_idle_timeout{60'000};
  Millis caller_transfer_timeout{10'000};
  /// @}

  /// @name Towards peers
  /// @{
  std::string peer_address = "127.0.0.1";
  std::uint32_t peer_port = 8081;
  Millis probe_interval{500};
  /// @}

  /// @name Towards operators
  /// @{
  std::string operator_address = "127.0.0.1";
  std::uint32_t operator_port = 8082;
  /// @}

  /// @name Towards the platform
  /// @{
  std::string platform_address = "127.0.0.1";
  std::uint32_t platform_port = 8090;
  std::uint32_t fleet_reads_per_second = 1000;
  std::uint32_t fleet_writes_per_second = 300;
  std::uint32_t fleet_watches_per_second = 300;
  /// @}

  /// @name Policy
  /// @{
  std::string ownership = "gateway";
  Millis claim_retention{24 * 3600 * 1000};
  /// @}

  /// @name Stopping and logging
  /// @{
  Millis leave_notice{300};
  Millis stop_limit{30'000};
  std::uint32_t log_verbosity = 0;
  /// @}
};

}  // namespace ibismux::settings

#endif  // IBISMUX_SETTINGS_SETTINGS_H_
