#ifndef IBISMUX_EDGE_ENDPOINT_H_
#define IBISMUX_EDGE_ENDPOINT_H_

#include <charconv>
#include <string>

#include "ibismux/peer/peer_endpoint.h"

namespace ibismux::edge {

/// "ip:port" out of the settings, where port 0 takes one from the system; a
/// peer's own endpoint never has that. Precondition: `text` has the form of an
/// endpoint, as the settings' reader checks. Thread safe.
[[nodiscard]] inline peer::PeerEndpoint endpoint_of(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  peer::PeerEndpoint endpoint{text.substr(0, colon), 0};
  std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                  endpoint.port);
  return endpoint;
}

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_ENDPOINT_H_
