#ifndef IBISMUX_PEER_SOCKET_OPTIONS_H_
#define IBISMUX_PEER_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace ibismux::peer {

/// Sets what every connection to a peer has: no delay, and an end when the
/// peer acknowledges nothing for some seconds. Thread safe.
void set_peer_options(boost::asio::ip::tcp::socket& socket);

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_SOCKET_OPTIONS_H_
