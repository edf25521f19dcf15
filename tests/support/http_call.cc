#include "tests/support/http_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>

#include "ibismux/http/client_connection.h"
#include "tests/support/process.h"

namespace ibismux::testing {

namespace {

Task<Result<http::Response>> call(
    std::uint16_t port,
    std::shared_ptr<const http::Request> request) {
  const TimePoint deadline = Clock::now() + kTestLimit;
  http::ClientConnection connection("127.0.0.1", port);
  auto connected = co_await connection.connect(deadline);
  if (!connected) {
    co_return tl::unexpected(connected.error());
  }
  auto response = co_await connection.exchange(request, deadline);
  co_return response;
}

}  // namespace

Result<http::Response> http_call(
    std::uint16_t port,
    std::string method,
    std::string target,
    std::string body,
    std::vector<std::pair<std::string, std::string>> fields) {
  auto request = std::make_shared<http::Request>();
  request->method = std::move(method);
  request->target = std::move(target);
  request->body = std::move(body);
  request->fields = std::move(fields);
  Result<http::Response> result = fail(ErrorKind::kInternal, "call crashed");
  boost::asio::io_context loop;
  boost::asio::co_spawn(
      loop, call(port, std::move(request)),
      [&](std::exception_ptr, Result<http::Response> response) {
        result = std::move(response);
      });
  loop.run();
  return result;
}

std::string raw_call(std::uint16_t port, std::string_view bytes) {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  asio::io_context loop;
  tcp::socket socket(loop);
  socket.connect({asio::ip::address_v4::loopback(), port});
  asio::write(socket, asio::buffer(bytes));
  socket.shutdown(tcp::socket::shutdown_send);
  std::string text;
  boost::system::error_code closed;
  asio::read(socket, asio::dynamic_buffer(text), closed);
  return text;
}

}  // namespace ibismux::testing
