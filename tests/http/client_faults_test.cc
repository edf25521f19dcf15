#include "tests/http/harness.h"

#include <boost/asio/detached.hpp>
#include <functional>
#include <future>
#include <thread>

#include <criterion/criterion.h>

using namespace ibismux;
using namespace ibismux::http;
using namespace ibismux::http::test;

namespace {

using boost::asio::ip::tcp;

/// A server that lets a test say each byte.
class ScriptedServer {
 public:
  /// @param script Runs once for each connection, one after the other, with a
  /// socket that has read one request; the connection closes when it returns.
  ScriptedServer(std::size_t connections,
                 std::function<void(tcp::socket&)> script)
      : acceptor(this->context, {boost::asio::ip::address_v4::loopback(), 0}),
        port(this->acceptor.local_endpoint().port()),
        thread([this, connections, script = std::move(script)] {
          for (std::size_t i = 0; i < connections; ++i) {
            tcp::socket socket = this->acceptor.accept();
            read_request(socket);
            script(socket);
          }
        }) {}
  ~ScriptedServer() { this->thread.join(); }

  static void read_request(tcp::socket& socket) {
    std::string text;
    boost::system::error_code ignored;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(text),
                            "\r\n\r\n", ignored);
  }

  static void say(tcp::socket& socket, const std::string& text) {
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(text), ignored);
  }

  /// Waits until the client closes.
  static void wait_for_close(tcp::socket& socket) {
    char byte = 0;
    boost::system::error_code error;
    while (!error) {
      socket.read_some(boost::asio::buffer(&byte, 1), error);
    }
  }

 private:
  boost::asio::io_context context;
  tcp::acceptor acceptor;

 public:
  const std::uint16_t port;

 private:
  std::thread thread;
};

const std::string kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// The error of one exchange with a server that says `text` and closes.
Error error_after(const std::string& text, std::size_t max_body = 1000) {
  ScriptedServer server(
      1, [&text](tcp::socket& socket) { ScriptedServer::say(socket, text); });
  IoPool pool(1);
  pool.start();
  TestClient client(pool, server.port, max_body);
  const auto answer = client.send(Request{});
  return answer ? make_error(ErrorKind::kInternal, "a response")
                : answer.error();
}

bool is(const Error& error, ErrorKind kind, Execution execution) {
  return error.kind == kind && error.execution == execution;
}

void close_soon(TestClient& client) {
  boost::asio::post(client.pool.at(0),
                    [connection = client.connection] { connection->close(); });
}

void say_twice(tcp::socket& socket, std::shared_future<void> later) {
  ScriptedServer::say(socket, kWhole);
  later.wait();
  ScriptedServer::say(socket, kWhole);
  ScriptedServer::wait_for_close(socket);
}

/// Owns the connection while it waits, as a coroutine of the product does.
Task<> hold_exchange(std::shared_ptr<ClientConnection> client,
                     std::shared_ptr<const Request> request) {
  co_await client->exchange(std::move(request), soon());
}

/// Sends once, lets the server close while the loop doesn't run, and sends
/// again.
Task<Result<Response>> send_after_close(
    std::shared_ptr<ClientConnection> client,
    std::promise<void>* may_close,
    std::shared_future<void> closed) {
  const auto request = std::make_shared<const Request>();
  co_await client->exchange(request, soon());
  co_await boost::asio::post(boost::asio::use_awaitable);
  may_close->set_value();
  closed.wait();
  co_return co_await client->exchange(request, soon());
}

}  // namespace

Test(http_client_faults, responses_cut_short_are_errors) {
  for (const std::size_t length :
       {1UL, 20UL, kWhole.size() - 2, kWhole.size() - 1}) {
    const Error error = error_after(kWhole.substr(0, length));
    cr_assert(is(error, ErrorKind::kProtocolError, Execution::kUnknown),
              "%zu bytes: %s", length, error.message.c_str());
  }
  cr_assert(
      is(error_after(""), ErrorKind::kLeafUnavailable, Execution::kUnknown));
}

Test(http_client_faults, bad_responses_are_errors) {
  for (const char* text :
       {"SMTP ready\r\n\r\n", "HTTP/1.1 abc\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        // Without a length, a whole one can't be told from a cut one.
        "HTTP/1.1 200 OK\r\n\r\nok"}) {
    cr_assert(
        is(error_after(text), ErrorKind::kProtocolError, Execution::kUnknown),
        "%s", text);
  }
}

// Failure: a caller gets the answer to another's request.
Test(http_client_faults, duplicate_response_makes_the_connection_unusable) {
  ScriptedServer server(1, [](tcp::socket& socket) {
    ScriptedServer::say(socket, kWhole + kWhole);
    ScriptedServer::wait_for_close(socket);
  });
  IoPool pool(1);
  pool.start();
  TestClient client(pool, server.port);
  cr_assert(client.send(Request{})->body == "ok");
  cr_assert(!client.usable());
}

Test(http_client_faults, late_duplicate_makes_the_connection_unusable) {
  std::promise<void> later;
  ScriptedServer server(
      1, [gate = later.get_future().share()](tcp::socket& socket) {
        say_twice(socket, gate);
      });
  IoPool pool(1);
  pool.start();
  TestClient client(pool, server.port);
  cr_assert(client.send(Request{}).has_value());
  cr_assert(client.usable());
  later.set_value();
  const TimePoint limit = soon();
  while (client.usable() && Clock::now() < limit) {
    std::this_thread::yield();
  }
  cr_assert(!client.usable());
}

// Failure: a reservation ends as "outcome unknown" that no leaf ever saw.
Test(http_client_faults, close_not_yet_seen_hands_over_no_byte) {
  std::promise<void> may_close;
  std::promise<void> closed;
  ScriptedServer server(1, [&may_close, &closed](tcp::socket& socket) {
    ScriptedServer::say(socket, kWhole);
    may_close.get_future().wait();
    socket.close();
    closed.set_value();
  });
  IoPool pool(1);
  pool.start();
  TestClient client(pool, server.port);
  cr_assert(run(pool, client.connection->connect(soon())).has_value());
  const auto answer = run(pool, send_after_close(client.connection, &may_close,
                                                 closed.get_future().share()));
  cr_assert(
      is(answer.error(), ErrorKind::kLeafUnavailable, Execution::kNotRun));
}

Test(http_client_faults, deadline_ends_an_exchange) {
  ScriptedServer server(1, ScriptedServer::wait_for_close);
  IoPool pool(1);
  pool.start();
  TestClient client(pool, server.port);
  const auto answer =
      client.send_within(Request{}, std::chrono::milliseconds(50));
  cr_assert(
      is(answer.error(), ErrorKind::kDeadlineExceeded, Execution::kUnknown));
  cr_assert(!client.usable());
}

Test(http_client_faults, passed_deadline_hands_over_no_byte) {
  IoPool pool(1);
  pool.start();
  ServerFixture fixture;
  TestClient client(pool, fixture.port);
  cr_assert(client.send(Request{}).has_value());
  const auto answer = client.send(Request{}, Clock::now());
  cr_assert(
      is(answer.error(), ErrorKind::kDeadlineExceeded, Execution::kNotRun));
}

Test(http_client_faults, close_ends_an_exchange) {
  std::promise<void> arrived;
  ScriptedServer server(1, [&arrived](tcp::socket& socket) {
    arrived.set_value();
    ScriptedServer::wait_for_close(socket);
  });
  IoPool pool(1);
  pool.start();
  TestClient client(pool, server.port);
  std::thread closer([&] {
    arrived.get_future().wait();
    close_soon(client);
  });
  const auto answer = client.send(Request{});
  closer.join();
  cr_assert(is(answer.error(), ErrorKind::kCancelled, Execution::kUnknown));
}

Test(http_client_faults, interim_responses_are_passed_over) {
  ScriptedServer server(1, [](tcp::socket& socket) {
    ScriptedServer::say(socket,
                        "HTTP/1.1 102 Processing\r\nX-A: 1\r\n\r\n" + kWhole);
    ScriptedServer::wait_for_close(socket);
  });
  IoPool pool(1);
  pool.start();
  TestClient client(pool, server.port);
  const auto answer = client.send(Request{});
  cr_assert(answer->status == 200 && answer->body == "ok");
  cr_assert(answer->field("X-A").empty());
  cr_assert(client.usable());
}

Test(http_client_faults, connection_opens_anew_after_a_failure) {
  ScriptedServer server(2, [](tcp::socket& socket) {
    ScriptedServer::say(socket,
                        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
                        "Connection: close\r\n\r\n");
  });
  IoPool pool(1);
  pool.start();
  TestClient client(pool, server.port);
  for (int i = 0; i < 2; ++i) {
    cr_assert(client.send(Request{})->status == 503);
    cr_assert(!client.usable());
  }
}

// Failure: the daemon leaks or touches freed memory at its end.
Test(http_client_faults, loop_that_ends_within_an_exchange_frees_it) {
  std::promise<void> arrived;
  ScriptedServer server(1, [&arrived](tcp::socket& socket) {
    arrived.set_value();
    ScriptedServer::wait_for_close(socket);
  });
  auto request = std::make_shared<const Request>();
  const std::weak_ptr<const Request> held = request;
  {
    IoPool pool(1);
    pool.start();
    auto client = std::make_shared<ClientConnection>("127.0.0.1", server.port);
    cr_assert(run(pool, client->connect(soon())).has_value());
    boost::asio::co_spawn(pool.at(0), hold_exchange(client, std::move(request)),
                          boost::asio::detached);
    arrived.get_future().wait();
    pool.stop();
    client.reset();
    cr_assert(!held.expired());
  }
  cr_assert(held.expired());
}
