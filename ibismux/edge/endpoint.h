#ifndef IBISMUX_EDGE_ENDPOINT_H_
#define IBISMUX_EDGE_ENDPOINT_H_

#include <charconv>
#include <string>

#include "ibismux/peer/peer_endpoint.h"

namespace ibismux::edge {

/// Parses an "ip:port" of the settings. With port 0 the system assigns a port;
/// the endpoint that a peer announces never has port 0. Precondition: `text` is
/// a well-formed endpoint, which the reader of the settings checks. Thread
/// safe.
[[nodiscard]] inline peer::PeerEndpoint endpoint_of(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  peer::PeerEndpoint endpoint{text.substr(0, colon), 0};
  std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                  endpoint.port);
  return endpoint;
}

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_ENDPOINT_H_
