#ifndef IBISMUX_HTTP_SOCKET_H_
#define IBISMUX_HTTP_SOCKET_H_

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "ibismux/base/time.h"

namespace ibismux::http {

// The event loop's own executor type in place of `any_io_executor`: an I/O
// operation then costs neither a type-erased call nor an allocation for it.
using Executor = boost::asio::io_context::executor_type;
using TcpSocket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, Executor>;
using TcpAcceptor =
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Executor>;
using Timer = boost::asio::
    basic_waitable_timer<Clock, boost::asio::wait_traits<Clock>, Executor>;

/// Whether this host lacks what a connection takes: that says nothing of the
/// server. Thread safe.
[[nodiscard]] inline bool is_own_fault(
    const boost::system::error_code& error) noexcept {
  namespace asio = boost::asio;
  return error == asio::error::no_descriptors ||
         error == asio::error::no_memory ||
         error == asio::error::no_buffer_space ||
         error == asio::error::network_down ||
         error == asio::error::network_unreachable ||
         error == boost::system::errc::address_not_available;
}

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_SOCKET_H_
