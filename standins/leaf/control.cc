#include "standins/leaf/control.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace fake_leaf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kLeafs = "/fake/leafs/";

HttpResponse reply(http::status status, std::string body) {
  HttpResponse response(status, 11);
  response.body() = std::move(body);
  return response;
}

}  // namespace

Control::Control(asio::io_context& loop,
                 const std::string& address,
                 std::vector<std::unique_ptr<Leaf>>& leafs,
                 History& history)
    : loop(loop),
      acceptor(loop, tcp::endpoint(asio::ip::make_address(address), 0)),
      leafs(leafs),
      history(history) {}

std::uint16_t Control::port() const {
  return this->acceptor.local_endpoint().port();
}

asio::awaitable<void> Control::accept() {
  while (true) {
    auto [error, socket] = co_await this->acceptor.async_accept(kAwait);
    if (!error) {
      asio::co_spawn(this->loop, this->serve(std::move(socket)),
                     asio::detached);
    }
  }
}

asio::awaitable<void> Control::serve(tcp::socket socket) {
  boost::beast::flat_buffer buffer;
  while (true) {
    HttpRequest request;
    auto [error, size] =
        co_await http::async_read(socket, buffer, request, kAwait);
    if (error) {
      co_return;
    }
    HttpResponse response = co_await this->handle(request);
    response.prepare_payload();
    co_await http::async_write(socket, response, kAwait);
  }
}

asio::awaitable<HttpResponse> Control::handle(const HttpRequest& request) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  if (request.method() == http::verb::put && target.starts_with(kLeafs)) {
    HttpResponse response = co_await this->put(request);
    co_return response;
  }
  if (target == "/fake/stats") {
    std::string body = co_await this->stats();
    co_return reply(http::status::ok, std::move(body));
  }
  if (target == "/fake/flush") {
    this->history.flush();
    co_return reply(http::status::ok, "{}");
  }
  co_return reply(http::status::not_found, "{}");
}

asio::awaitable<HttpResponse> Control::put(const HttpRequest& request) {
  std::string name(request.target().substr(kLeafs.size()));
  boost::system::error_code error;
  boost::json::value body = boost::json::parse(request.body(), error);
  if (error || !body.is_object()) {
    co_return reply(http::status::bad_request, "expected a JSON object");
  }
  boost::json::object wanted = std::move(body.as_object());
  std::string problem =
      co_await this->change(std::move(name), std::move(wanted));
  if (!problem.empty()) {
    co_return reply(http::status::bad_request, std::move(problem));
  }
  co_return reply(http::status::ok, "{}");
}

asio::awaitable<std::string> Control::change(std::string name,
                                             boost::json::object change) {
  bool found = name == "*";
  for (const auto& leaf : this->leafs) {
    if (name != "*" && name != leaf->leaf_name()) {
      continue;
    }
    found = true;
    std::string problem = co_await asio::co_spawn(
        leaf->event_loop(), leaf->apply(change), asio::use_awaitable);
    if (!problem.empty()) {
      co_return problem;
    }
  }
  co_return found ? std::string() : "no such leaf: " + name;
}

asio::awaitable<std::string> Control::stats() {
  boost::json::object all;
  for (const auto& leaf : this->leafs) {
    boost::json::object one = co_await asio::co_spawn(
        leaf->event_loop(), leaf->report(), asio::use_awaitable);
    all[leaf->leaf_name()] = std::move(one);
  }
  co_return boost::json::serialize(all);
}

}  // namespace fake_leaf
