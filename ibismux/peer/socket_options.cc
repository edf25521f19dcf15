#include "ibismux/peer/socket_options.h"

#include <netinet/tcp.h>

#include <boost/asio/socket_base.hpp>
#include <chrono>

namespace ibismux::peer {

namespace {

/// A host that lost power or its network acknowledges nothing and resets
/// nothing; the kernel's own limit is a quarter of an hour.
constexpr std::chrono::milliseconds kUnacknowledged{5000};

}  // namespace

void set_peer_options(boost::asio::ip::tcp::socket& socket) {
  using UserTimeout =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_USER_TIMEOUT>;
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(UserTimeout(static_cast<int>(kUnacknowledged.count())),
                    ignored);
}

}  // namespace ibismux::peer
