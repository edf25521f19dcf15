#include "standins/platform/connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/parse.hpp>
#include <optional>

#include "standins/platform/service.h"

namespace fake_platform {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// Above the limit of a value, so that the service can say 413 itself.
constexpr std::size_t kMostBodyBytes = 2 * 1024 * 1024;

std::optional<std::string> field_of(const Request& request, http::field name) {
  const auto found = request.find(name);
  return found == request.end()
             ? std::nullopt
             : std::optional<std::string>(std::string(found->value()));
}

std::optional<Call> call_of(Request& request) {
  const auto url = boost::urls::parse_origin_form(request.target());
  if (!url) {
    return std::nullopt;
  }
  Call call;
  call.method = std::string(request.method_string());
  for (const auto& part : url->segments()) {
    call.path.push_back(part);
  }
  for (const auto& parameter : url->params()) {
    call.parameters[parameter.key] = parameter.value;
  }
  call.if_match = field_of(request, http::field::if_match);
  call.if_none_match = field_of(request, http::field::if_none_match);
  call.body = std::move(request.body());
  return call;
}

Response response_of(Reply reply, bool keep_alive) {
  Response response;
  response.version(11);
  response.result(static_cast<unsigned>(reply.status));
  response.keep_alive(keep_alive);
  if (reply.etag) {
    response.set(http::field::etag, std::to_string(*reply.etag));
  }
  response.body() = std::move(reply.body);
  response.prepare_payload();
  return response;
}

}  // namespace

asio::awaitable<void> serve_connection(asio::ip::tcp::socket socket,
                                       Service& service) {
  constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  boost::beast::flat_buffer buffer;
  for (bool keep_alive = true; keep_alive;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMostBodyBytes);
    const auto [read_error, read_bytes] =
        co_await http::async_read(socket, buffer, parser, kToken);
    Reply reply{.status = 413};
    if (read_error == http::error::body_limit) {
      keep_alive = false;
    } else if (read_error) {
      break;
    } else {
      Request request = parser.release();
      keep_alive = request.keep_alive();
      auto call = call_of(request);
      reply = {.status = 400};
      if (call) {
        reply = co_await service.handle(std::move(*call));
      }
    }
    if (reply.cut) {
      break;
    }
    const Response response = response_of(std::move(reply), keep_alive);
    const auto [write_error, written] =
        co_await http::async_write(socket, response, kToken);
    if (write_error) {
      break;
    }
  }
  socket.close(ignored);
}

}  // namespace fake_platform
