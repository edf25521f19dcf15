#include "tests/http/harness.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <filesystem>
#include <future>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace ibismux;
using namespace ibismux::http;
using namespace ibismux::http::test;

namespace {

/// A handler that runs until its client goes or the test lets it end.
class Gate {
 public:
  Server::Handler handler() {
    return [this](std::shared_ptr<const Request>,
                  std::shared_ptr<CancelToken> token) {
      return hold(this, std::move(token));
    };
  }

  std::promise<void> entered;
  std::promise<void> cancelled;
  std::promise<void> released;  ///< Set from another thread.

 private:
  static Task<Response> hold(Gate* gate, std::shared_ptr<CancelToken> token) {
    token->on_cancel([gate](CancelReason) { gate->cancelled.set_value(); });
    gate->entered.set_value();
    auto opened = gate->released.get_future();
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    while (opened.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready) {
      timer.expires_after(std::chrono::milliseconds(1));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    Response response;
    response.body = "whole";
    co_return response;
  }
};

void wait_for_none_in_flight(const Server& server) {
  while (server.in_flight() > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

/// Whether a socket of this process listens at `port`. To dial it would not
/// tell: a port that is free again may be another test's.
bool listens(std::uint16_t port) {
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    const int file = std::stoi(entry.path().filename());
    int listening = 0;
    socklen_t size = sizeof listening;
    sockaddr_in address{};
    socklen_t length = sizeof address;
    if (::getsockopt(file, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 &&
        listening != 0 &&
        ::getsockname(file, reinterpret_cast<sockaddr*>(&address), &length) ==
            0 &&
        ntohs(address.sin_port) == port) {
      return true;
    }
  }
  return false;
}

bool comes(std::promise<void>& promise) {
  return promise.get_future().wait_for(kLimit) == std::future_status::ready;
}

}  // namespace

Test(http_server_lifetime, client_that_goes_fires_the_token) {
  Gate gate;
  ServerFixture fixture(gate.handler());
  {
    RawClient client(fixture.port);
    client.send("GET / HTTP/1.1\r\n\r\n");
    cr_assert(comes(gate.entered));
  }
  cr_assert(comes(gate.cancelled));
  gate.released.set_value();
}

Test(http_server_lifetime, pipelined_bytes_do_not_hide_that_the_client_goes) {
  Gate gate;
  ServerFixture fixture(gate.handler());
  {
    RawClient client(fixture.port);
    client.send("GET / HTTP/1.1\r\n\r\nGET /2 HT");
    cr_assert(comes(gate.entered));
  }
  cr_assert(comes(gate.cancelled));
  gate.released.set_value();
}

// Failure: a client that has ended its sending side gets no answer.
Test(http_server_lifetime, half_closed_client_still_gets_its_answer) {
  Gate gate;
  ServerFixture fixture(gate.handler());
  RawClient client(fixture.port);
  client.send("GET / HTTP/1.1\r\n\r\n");
  client.socket.shutdown(client.socket.shutdown_send);
  cr_assert(comes(gate.cancelled));
  gate.released.set_value();
  cr_assert(client.read_all().ends_with("\r\n\r\nwhole"));
}

// Failure: a planned stop cuts a request in flight.
Test(http_server_lifetime, drain_cuts_no_request) {
  Gate gate;
  ServerLimits limits;
  limits.drain_grace = std::chrono::milliseconds(1);
  ServerFixture fixture(gate.handler(), limits);
  RawClient busy(fixture.port);
  busy.send("GET / HTTP/1.1\r\n\r\n");
  cr_assert(comes(gate.entered));
  cr_assert(fixture.server.in_flight() == 1);
  cr_assert(listens(fixture.port));
  fixture.server.drain();
  gate.released.set_value();
  const std::string text = busy.read_all();
  cr_assert(text.ends_with("\r\n\r\nwhole"));
  cr_assert(text.find("Connection: close\r\n") != std::string::npos);
  wait_for_none_in_flight(fixture.server);
  cr_assert(!listens(fixture.port));
}

// Failure: a planned stop cuts a request in flight.
Test(http_server_lifetime, drain_waits_for_requests_on_the_way) {
  ServerLimits limits;
  limits.drain_grace = std::chrono::seconds(5);
  ServerFixture fixture(echo, limits);
  RawClient client(fixture.port);
  client.send("GET /1 HTTP/1.1\r\n\r\n");
  client.read_until("GET /1 ");
  RawClient waiting(fixture.port);
  fixture.server.drain();
  RawClient late(fixture.port);
  cr_assert(fixture.server.in_flight() > 0);
  client.send("GET /2 HTTP/1.1\r\n\r\n");
  waiting.send("GET /3 HTTP/1.1\r\n\r\n");
  late.send("GET /4 HTTP/1.1\r\n\r\n");
  wait_for_none_in_flight(fixture.server);
  fixture.server.stop();
  const std::string text = client.read_all();
  cr_assert(text.ends_with("GET /2 "));
  cr_assert(text.find("Connection: close\r\n") != std::string::npos);
  cr_assert(waiting.read_all().ends_with("GET /3 "));
  cr_assert(late.read_all().ends_with("GET /4 "));
}

// Guards against pipelined requests that a draining server has read and leaves
// without an answer.
Test(http_server_lifetime, drain_answers_pipelined_requests) {
  std::promise<void> entered;
  std::promise<void> released;
  ServerLimits limits;
  limits.drain_grace = std::chrono::milliseconds(1);
  ServerFixture fixture(
      [&](std::shared_ptr<const Request> request,
          std::shared_ptr<CancelToken> token) -> Task<Response> {
        if (request->target == "/1") {
          entered.set_value();
          released.get_future().wait();
        }
        return echo(std::move(request), std::move(token));
      },
      limits);
  RawClient client(fixture.port);
  client.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  cr_assert(comes(entered));
  fixture.server.drain();
  released.set_value();
  const std::string text = client.read_all();
  cr_assert(text.find("GET /1 ") != std::string::npos);
  cr_assert(text.ends_with("GET /2 "), "%s", text.c_str());
}

// Guards against requests that come so late in a stop that it cuts them: on
// connections opened while the server drains, which had a grace of their own.
Test(http_server_lifetime, a_connection_opened_in_a_drain_adds_no_grace) {
  ServerLimits limits;
  limits.drain_grace = std::chrono::seconds(3);
  ServerFixture fixture(echo, limits);
  ServerFixture later(echo, limits);
  RawClient reference(later.port);
  reference.send("GET /1 HTTP/1.1\r\n\r\n");
  reference.read_until("GET /1 ");
  fixture.server.drain();
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  later.server.drain();
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  RawClient late(fixture.port);
  std::promise<void> closed;
  std::thread reader([&] {
    late.read_all();
    closed.set_value();
  });
  reference.read_all();
  const bool first = closed.get_future().wait_for(std::chrono::seconds(0)) ==
                     std::future_status::ready;
  reader.join();
  cr_assert(first);
}

Test(http_server_lifetime, drain_closes_what_stays_idle) {
  ServerLimits limits;
  limits.drain_grace = std::chrono::milliseconds(1);
  ServerFixture fixture(echo, limits);
  RawClient idle(fixture.port);
  fixture.server.drain();
  cr_assert(idle.read_all().empty());
}

Test(http_server_lifetime, stop_ends_connections_and_fires_tokens) {
  Gate gate;
  ServerFixture fixture(gate.handler());
  RawClient client(fixture.port);
  client.send("GET / HTTP/1.1\r\n\r\n");
  cr_assert(comes(gate.entered));
  fixture.server.stop();
  cr_assert(client.read_all().empty());
  cr_assert(comes(gate.cancelled));
  gate.released.set_value();
}
