#ifndef IBISMUX_TESTS_GATEWAY_RAW_LEAF_H_
#define IBISMUX_TESTS_GATEWAY_RAW_LEAF_H_

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "ibismux/base/io_pool.h"
#include "ibismux/base/task.h"
#include "ibismux/release/backend_server.h"

namespace ibismux::gateway::testing {

/// A leaf that answers calls with given bytes and closes the connection, and
/// health as it should.
class RawLeaf {
 public:
  explicit RawLeaf(std::string reply)
      : pool(1),
        reply(std::move(reply)),
        acceptor(this->pool.at(0), Endpoint(Address::loopback(), 0)) {
    boost::asio::co_spawn(this->pool.at(0), accept(this),
                          boost::asio::detached);
    this->pool.start();
  }
  ~RawLeaf() { this->pool.stop(); }

  [[nodiscard]] release::BackendServer object() const {
    release::BackendServer leaf;
    leaf.name = "leaf";
    leaf.address = "127.0.0.1";
    leaf.port = this->acceptor.local_endpoint().port();
    leaf.connect_cost = std::chrono::milliseconds(1);
    return leaf;
  }

  std::atomic<int> calls{0};  ///< That came with a body.

 private:
  using Address = boost::asio::ip::address_v4;
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using Socket = boost::asio::ip::tcp::socket;

  static constexpr auto kAwait =
      boost::asio::as_tuple(boost::asio::use_awaitable);

  static Task<void> accept(RawLeaf* self) {
    while (true) {
      auto [error, socket] = co_await self->acceptor.async_accept(kAwait);
      if (error) {
        co_return;
      }
      boost::asio::co_spawn(self->pool.at(0), serve(self, std::move(socket)),
                            boost::asio::detached);
    }
  }

  static Task<void> serve(RawLeaf* self, Socket socket) {
    const std::string healthy =
        "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"state\":\"ready\"}";
    std::string input;
    while (true) {
      auto [error, size] = co_await boost::asio::async_read_until(
          socket, boost::asio::dynamic_buffer(input), "\r\n\r\n", kAwait);
      if (error) {
        co_return;
      }
      const bool health = input.starts_with("GET");
      self->calls += health ? 0 : 1;
      co_await boost::asio::async_write(
          socket, boost::asio::buffer(health ? healthy : self->reply), kAwait);
      if (!health) {
        co_return;
      }
      input.erase(0, size);
    }
  }

  IoPool pool;
  std::string reply;
  boost::asio::ip::tcp::acceptor acceptor;
};

}  // namespace ibismux::gateway::testing

#endif  // IBISMUX_TESTS_GATEWAY_RAW_LEAF_H_
