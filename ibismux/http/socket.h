#ifndef IBISMUX_HTTP_SOCKET_H_
#define IBISMUX_HTTP_SOCKET_H_

#include <boost/asio/basic_waitable_timer.hpp>
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

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_SOCKET_H_
