#ifndef IBISMUX_PEER_PEER_ENDPOINT_H_
#define IBISMUX_PEER_PEER_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ibismux::peer {

/// Where a daemon accepts peers.
struct PeerEndpoint {
  std::string address;  ///< IP number.
  std::uint16_t port = 0;

  [[nodiscard]] bool operator==(const PeerEndpoint&) const = default;
};

/// Reads "ip:port"; nothing where `text` isn't one. Thread safe.
[[nodiscard]] std::optional<PeerEndpoint> parse_endpoint(std::string_view text);

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_PEER_ENDPOINT_H_
