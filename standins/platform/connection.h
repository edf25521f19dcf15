#ifndef STANDINS_PLATFORM_CONNECTION_H_
#define STANDINS_PLATFORM_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace fake_platform {

class Service;

/// Serves the requests of one connection until it closes. The service outlives
/// it.
boost::asio::awaitable<void> serve_connection(
    boost::asio::ip::tcp::socket socket,
    Service& service);

}  // namespace fake_platform

#endif  // STANDINS_PLATFORM_CONNECTION_H_
