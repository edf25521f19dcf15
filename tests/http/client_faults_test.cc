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
  TestClient client(pool, server.port, {.max_body = max_body});
  const auto answer = client.send(Request{});
  return answer ? make_error(ErrorKind::kInternal, "a response")
                : answer.error();
}

bool is(const Error& error, ErrorKind kind, Execution execution) {
  return error.kind == kind && error.execution == execution;
}

/// Sends requests that each name themselves, and takes only answers to them.
class NamedRequests {
 public:
  NamedRequests(IoPool& pool, std::uint16_t port)
      : client(pool, port, {.body_may_end_by_close = true}) {}

  Result<Response> send(const std::string& id, std::string method = "GET") {
    Request request;
    request.method = std::move(method);
    return this->client.send(
        std::move(request), soon(),
        [id](const Response& response) { return response.field("Id") == id; });
  }

 private:
  TestClient client;
};

/// The answer to request `id`, with the length in its head or without.
std::string answer_to(const std::string& id, bool has_length) {
  return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" +
         (has_length ? "Content-Length: 4\r\n\r\n" : "\r\n") + "to " + id;
}

/// The error of a request behind which the server sends the answer to the
/// request before it a second time, without a length.
/// @param then What the server does before it closes.
Error error_behind_late_answer(const std::function<void(tcp::socket&)>& then) {
  ScriptedServer server(1, [&then](tcp::socket& socket) {
    ScriptedServer::say(socket, answer_to("a", true));
    ScriptedServer::read_request(socket);
    ScriptedServer::say(socket, answer_to("a", false));
    then(socket);
  });
  IoPool pool(1);
  pool.start();
  NamedRequests client(pool, server.port);
  cr_assert(client.send("a")->body == "to a");
  const auto next = client.send("b");
  return next ? make_error(ErrorKind::kInternal, "a response") : next.error();
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

// Failure: a caller gets the answer to another's request, which the server
// sends again, late and without a length.
Test(http_client_faults, late_answer_without_a_length_is_not_the_next_one) {
  const Error error = error_behind_late_answer([](tcp::socket&) {});
  cr_assert(is(error, ErrorKind::kLeafUnavailable, Execution::kUnknown));
}

// Failure: a caller waits until its deadline behind an answer that isn't its
// own and that ends with a connection which the server keeps open.
Test(http_client_faults, late_answer_without_an_end_fails_the_next_at_once) {
  const Error error = error_behind_late_answer(ScriptedServer::wait_for_close);
  cr_assert(is(error, ErrorKind::kLeafUnavailable, Execution::kUnknown));
}

// Failure: bytes of a late answer are read as the next one, since an answer to
// a HEAD has a length and no body.
Test(http_client_faults, late_answer_beside_a_head_fails_the_next_request) {
  const std::string hidden = answer_to("b", true);
  for (const auto& [first, second] :
       {std::pair("GET", "HEAD"), std::pair("HEAD", "GET")}) {
    ScriptedServer server(1, [&hidden](tcp::socket& socket) {
      const std::string late = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: " +
                               std::to_string(hidden.size()) + "\r\n\r\n";
      ScriptedServer::say(socket, "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n");
      ScriptedServer::read_request(socket);
      ScriptedServer::say(socket, late + hidden + hidden);
      ScriptedServer::wait_for_close(socket);
    });
    IoPool pool(1);
    pool.start();
    NamedRequests client(pool, server.port);
    cr_assert(client.send("a", first).has_value());
    const auto next = client.send("b", second);
    cr_assert(!next, "%s", second);
    cr_assert(
        is(next.error(), ErrorKind::kLeafUnavailable, Execution::kUnknown));
  }
}

Test(http_client_faults, own_answer_without_a_length_is_taken) {
  ScriptedServer server(1, [](tcp::socket& socket) {
    ScriptedServer::say(socket, answer_to("a", true));
    ScriptedServer::read_request(socket);
    ScriptedServer::say(socket, answer_to("a", true));
    ScriptedServer::say(socket, answer_to("b", false));
  });
  IoPool pool(1);
  pool.start();
  NamedRequests client(pool, server.port);
  cr_assert(client.send("a").has_value());
  cr_assert(client.send("b")->body == "to b");
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

// Guards against calls that last until their deadline at a server that sends
// responses which are no answer without end.
Test(http_client_faults, responses_without_end_fail_the_exchange) {
  for (const char* text :
       {"HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 0\r\n\r\n"}) {
    std::string block;
    while (block.size() < 64 * 1024) {
      block += text;
    }
    ScriptedServer server(1, [&block](tcp::socket& socket) {
      boost::system::error_code error;
      while (!error) {
        boost::asio::write(socket, boost::asio::buffer(block), error);
      }
    });
    IoPool pool(1);
    pool.start();
    NamedRequests requests(pool, server.port);
    const auto answer = requests.send("a");
    cr_assert(!answer);
    cr_assert(
        is(answer.error(), ErrorKind::kProtocolError, Execution::kUnknown));
  }
}
