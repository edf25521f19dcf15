#ifndef IBISMUX_PEER_PEER_SETTINGS_H_
#define IBISMUX_PEER_PEER_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace ibismux::peer {

/// How this daemon talks to its peers.
struct PeerSettings {
  std::string listen_address = "127.0.0.1";  ///< IP number.
  std::uint16_t port = 0;                    ///< 0: chosen by the system.
  std::string cluster = "ibismux";  ///< Peers of another one are refused.
  std::string member;               ///< This host's name.
  std::string zone;                 ///< Availability zone.

  std::chrono::milliseconds connect_timeout{1000};  ///< With the handshake.
  std::chrono::milliseconds idle_timeout{120000};
  std::chrono::milliseconds first_backoff{50};
  std::chrono::milliseconds most_backoff{2000};
  /// What may wait for one peer; more is refused.
  std::size_t most_queued_bytes = 8 * 1024 * 1024;
};

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_PEER_SETTINGS_H_
