#ifndef TESTS_SUPPORT_BOUND_PORT_H_
#define TESTS_SUPPORT_BOUND_PORT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

namespace ibismux::tests {

/// A port of loopback at which connections are refused: bound, with nobody
/// listening. A port that was merely free a moment ago may be another test's
/// by the time it is dialled. A program that the test starts may listen on it
/// with SO_REUSEPORT; when that program is gone, connections are refused again.
class BoundPort {
 public:
  BoundPort() : socket(loop) {
    this->socket.open(boost::asio::ip::tcp::v4());
    this->socket.set_option(ReusePort(true));
    this->socket.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
  }

  [[nodiscard]] std::uint16_t port() const {
    return this->socket.local_endpoint().port();
  }

 private:
  using ReusePort =
      boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

  boost::asio::io_context loop;
  boost::asio::ip::tcp::socket socket;
};

}  // namespace ibismux::tests

#endif  // TESTS_SUPPORT_BOUND_PORT_H_
