#include "tests/http/harness.h"

#include <criterion/criterion.h>

#include "ibismux/http/client_pool.h"
#include "tests/support/bound_port.h"

using namespace ibismux;
using namespace ibismux::http;
using namespace ibismux::http::test;

namespace {

Task<Response> echo_host(std::shared_ptr<const Request> request,
                         std::shared_ptr<CancelToken>) {
  Response response;
  response.body = request->field("Host");
  co_return response;
}

Task<Response> throwing(std::shared_ptr<const Request>,
                        std::shared_ptr<CancelToken>) {
  throw std::runtime_error("secret detail");
  co_return Response{};
}

/// Sends twice over one pool.
/// @return How many connections the server has while the pool lives.
Task<std::size_t> send_twice(std::shared_ptr<ClientPool> pool, Server* server) {
  for (const char* body : {"1", "2"}) {
    const auto answer = co_await pool->send(post(body), soon());
    if (!answer || answer->body != std::string("POST /x ") + body) {
      co_return 0;
    }
  }
  co_return server->connections();
}

}  // namespace

Test(http_exchange, keeps_the_connection_alive) {
  ServerFixture fixture;
  TestClient client(fixture.pool, fixture.port);
  for (int i = 0; i < 100; ++i) {
    const auto answer = client.send(post(std::to_string(i)));
    cr_assert(answer.has_value());
    cr_assert(answer->status == 200);
    cr_assert(answer->body == "POST /x " + std::to_string(i));
  }
  cr_assert(fixture.server.connections() == 1);
}

Test(http_exchange, carries_large_bodies) {
  ServerFixture fixture;
  TestClient client(fixture.pool, fixture.port);
  const std::string body(900 * 1024, 'b');
  const auto answer = client.send(post(body));
  cr_assert(answer.has_value());
  cr_assert(answer->body == "POST /x " + body);
}

Test(http_exchange, handler_that_throws_gives_500) {
  ServerFixture fixture(throwing);
  TestClient client(fixture.pool, fixture.port);
  const auto answer = client.send(post(""));
  cr_assert(answer->status == 500);
  cr_assert(answer->body.find("\"internal\"") != std::string::npos);
  cr_assert(answer->body.find("secret") == std::string::npos);
}

Test(http_exchange, refused_connection_is_not_run) {
  const tests::BoundPort nobody;
  IoPool pool(1);
  pool.start();
  TestClient client(pool, nobody.port());
  const auto answer = client.send(post(""));
  cr_assert(!answer.has_value());
  cr_assert(answer.error().kind == ErrorKind::kLeafUnavailable);
  cr_assert(answer.error().execution == Execution::kNotRun);
}

Test(http_exchange, pool_reuses_its_connection) {
  ServerFixture fixture;
  auto pool = std::make_shared<ClientPool>("127.0.0.1", fixture.port);
  const std::size_t connections =
      run(fixture.pool, send_twice(std::move(pool), &fixture.server));
  cr_assert(connections == 1);
}

Test(http_exchange, names_its_host) {
  ServerFixture fixture(echo_host);
  TestClient client(fixture.pool, fixture.port);
  const auto answer = client.send(Request{});
  cr_assert(answer->body == "127.0.0.1:" + std::to_string(fixture.port));
}
