#include "tests/http/harness.h"

#include <future>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace ibismux;
using namespace ibismux::http;
using namespace ibismux::http::test;

namespace {

/// A handler that waits for its token and answers with the reason, or ignores
/// it.
class Waiting {
 public:
  explicit Waiting(bool observes_token) : observes_token(observes_token) {}

  Server::Handler handler() {
    return [this](std::shared_ptr<const Request>,
                  std::shared_ptr<CancelToken> token) {
      return wait(this, std::move(token));
    };
  }

  std::promise<void> entered;

 private:
  static Task<Response> wait(Waiting* self,
                             std::shared_ptr<CancelToken> token) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    kLimit);
    Response response;
    if (self->observes_token) {
      token->on_cancel([&](CancelReason reason) {
        response.body =
            reason == CancelReason::kStopping ? "stopping" : "client gone";
        timer.cancel();
      });
    }
    self->entered.set_value();
    boost::system::error_code ignored;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    co_return response;
  }

  const bool observes_token;
};

/// A server that stops while it handles a request. @return What the client got.
std::string answer_at_stop(bool observes_token) {
  Waiting waiting(observes_token);
  ServerFixture fixture(waiting.handler());
  RawClient client(fixture.port);
  client.send("GET / HTTP/1.1\r\n\r\n");
  waiting.entered.get_future().wait();
  fixture.server.drain();
  fixture.server.cancel_requests();
  return client.read_all();
}

}  // namespace

Test(http_server_cancel, handlers_answer_when_requests_are_cancelled) {
  const std::string text = answer_at_stop(true);
  cr_assert(text.starts_with("HTTP/1.1 200 "), "%s", text.c_str());
  cr_assert(text.ends_with("\r\n\r\nstopping"), "%s", text.c_str());
  cr_assert(text.find("Connection: close\r\n") != std::string::npos);
}

// Guards against a handler that ignores its token and leaves its client
// without an answer.
Test(http_server_cancel, a_handler_that_goes_on_is_answered_for) {
  const std::string text = answer_at_stop(false);
  cr_assert(text.starts_with("HTTP/1.1 502 "), "%s", text.c_str());
}

// Guards against requests that are cut while they arrive, or are handled by a
// server that won't see their end.
Test(http_server_cancel, requests_that_arrive_later_are_refused_as_not_run) {
  ServerLimits limits;
  limits.drain_grace = kLimit;
  ServerFixture fixture(echo, limits);
  RawClient half(fixture.port);
  half.send("POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc");
  RawClient idle(fixture.port);
  idle.send("GET /1 HTTP/1.1\r\n\r\n");
  idle.read_until("GET /1 ");
  while (fixture.server.open_requests().reading == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  fixture.server.drain();
  fixture.server.cancel_requests();
  idle.send("GET /2 HTTP/1.1\r\n\r\n");
  for (RawClient* client : {&half, &idle}) {
    const std::string text = client->read_all();
    cr_assert(text.starts_with("HTTP/1.1 503 "), "%s", text.c_str());
    cr_assert(text.find("Retry-After: 0\r\n") != std::string::npos);
  }
}

// Guards against a repeat of a request that may have run, which is told in a
// stop that it was not run.
Test(http_server_cancel, late_requests_that_may_be_repeats_end_as_unknown) {
  ServerLimits limits;
  limits.drain_grace = kLimit;
  limits.keyed_requests = true;
  ServerFixture fixture(echo, limits);
  RawClient half(fixture.port);
  half.send("POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc");
  RawClient idle(fixture.port);
  idle.send("GET /1 HTTP/1.1\r\n\r\n");
  idle.read_until("GET /1 ");
  while (fixture.server.open_requests().reading == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  fixture.server.drain();
  fixture.server.cancel_requests();
  idle.send("GET /2 HTTP/1.1\r\n\r\n");
  for (RawClient* client : {&half, &idle}) {
    const std::string text = client->read_all();
    cr_assert(text.starts_with("HTTP/1.1 503 "), "%s", text.c_str());
    cr_assert(text.find(R"("execution":"unknown")") != std::string::npos);
  }
}

// Guards against a stop that cuts answers which a slow client still takes.
Test(http_server_cancel, answers_that_are_half_written_are_written_to_the_end) {
  constexpr std::size_t kBytes = 32 * 1024 * 1024;
  ServerFixture fixture([](auto, auto) -> Task<Response> {
    Response response;
    response.body.assign(kBytes, 'x');
    co_return response;
  });
  RawClient client(fixture.port);
  client.send("GET / HTTP/1.1\r\n\r\n");
  while (fixture.server.open_requests().writing == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  fixture.server.drain();
  fixture.server.cancel_requests();
  cr_assert(client.read_all().size() > kBytes);
  while (fixture.server.in_flight() > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}
