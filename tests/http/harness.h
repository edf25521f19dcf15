#ifndef TESTS_HTTP_HARNESS_H_
#define TESTS_HTTP_HARNESS_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "ibismux/base/io_pool.h"
#include "ibismux/http/client_connection.h"
#include "ibismux/http/server.h"

namespace ibismux::http::test {

// One generous limit for everything that waits.
inline constexpr Duration kLimit = std::chrono::seconds(60);

inline TimePoint soon() {
  return Clock::now() + kLimit;
}

/// Runs `task` on a loop of `pool` and waits for its result.
template <class T>
T run(IoPool& pool, Task<T> task) {
  return boost::asio::co_spawn(pool.at(0), std::move(task),
                               boost::asio::use_future)
      .get();
}

/// Answers with the method, the target and the body that came in.
inline Task<Response> echo(std::shared_ptr<const Request> request,
                           std::shared_ptr<CancelToken>) {
  Response response;
  response.body = request->method + ' ' + request->target + ' ' + request->body;
  co_return response;
}

/// A pool of loops and one server on the loopback.
class ServerFixture {
 public:
  explicit ServerFixture(Server::Handler handler = echo,
                         ServerLimits limits = {})
      : pool(2), server(this->pool, limits, std::move(handler)) {
    this->port = this->server.listen("127.0.0.1", 0).value();
    this->pool.start();
  }
  ~ServerFixture() {
    this->server.stop();
    this->pool.stop();
  }

  IoPool pool;
  Server server;
  std::uint16_t port = 0;
};

/// A `ClientConnection` that is used, and destroyed, on the pool's first loop.
class TestClient {
 public:
  TestClient(IoPool& pool,
             std::uint16_t port,
             ClientOptions options = {.max_body = 1 << 24})
      : pool(pool),
        connection(
            std::make_shared<ClientConnection>("127.0.0.1", port, options)) {}
  ~TestClient() { run(this->pool, drop(std::move(this->connection))); }

  /// Connects where there is need, and sends.
  Result<Response> send(Request request,
                        TimePoint deadline = soon(),
                        ClientConnection::AnswerTest is_answer = nullptr) {
    return run(this->pool, exchange(this->connection, std::move(request),
                                    deadline, std::move(is_answer)));
  }

  /// Sends with a deadline that is set once the connection stands, on its own
  /// loop: so that it passes while the request is out, and not before.
  Result<Response> send_within(Request request, Duration allowed) {
    return run(this->pool,
               exchange_within(this->connection, std::move(request), allowed));
  }

  bool usable() { return run(this->pool, ask_usable(this->connection)); }

  IoPool& pool;
  std::shared_ptr<ClientConnection> connection;

 private:
  static Task<bool> drop(std::shared_ptr<ClientConnection> connection) {
    connection.reset();
    co_return true;
  }

  static Task<bool> ask_usable(std::shared_ptr<ClientConnection> connection) {
    co_return connection->usable();
  }

  static Task<Result<Response>> exchange(
      std::shared_ptr<ClientConnection> connection,
      Request request,
      TimePoint deadline,
      ClientConnection::AnswerTest is_answer) {
    if (!connection->usable()) {
      auto connected = co_await connection->connect(deadline);
      if (!connected) {
        co_return tl::unexpected(connected.error());
      }
    }
    const auto shared = std::make_shared<const Request>(std::move(request));
    co_return co_await connection->exchange(shared, deadline,
                                            std::move(is_answer));
  }

  static Task<Result<Response>> exchange_within(
      std::shared_ptr<ClientConnection> connection,
      Request request,
      Duration allowed) {
    auto connected = co_await connection->connect(soon());
    if (!connected) {
      co_return tl::unexpected(connected.error());
    }
    const auto shared = std::make_shared<const Request>(std::move(request));
    co_return co_await connection->exchange(shared, Clock::now() + allowed);
  }
};

inline Request post(std::string body) {
  Request request;
  request.method = "POST";
  request.target = "/x";
  request.body = std::move(body);
  return request;
}

/// A client that writes and reads raw bytes and blocks.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port) : socket(this->context) {
    this->socket.connect({boost::asio::ip::address_v4::loopback(), port});
  }

  void send(std::string_view text) {
    boost::asio::write(this->socket, boost::asio::buffer(text));
  }

  /// Reads until `end` has come.
  void read_until(const std::string& end) {
    std::string text;
    boost::asio::read_until(this->socket, boost::asio::dynamic_buffer(text),
                            end);
  }

  /// Reads until the server closes.
  std::string read_all() {
    std::string text;
    boost::system::error_code ignored;
    boost::asio::read(this->socket, boost::asio::dynamic_buffer(text), ignored);
    return text;
  }

  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket;
};

}  // namespace ibismux::http::test

#endif  // TESTS_HTTP_HARNESS_H_
