#include "tests/http/harness.h"

#include <criterion/criterion.h>

using namespace ibismux;
using namespace ibismux::http;
using namespace ibismux::http::test;

namespace {

ServerLimits small_limits() {
  ServerLimits limits;
  limits.header_bytes = 512;
  limits.body_bytes = 100;
  return limits;
}

/// Whether `text` is one whole response of `status` that ends the connection.
bool one_refusal(const std::string& text, int status) {
  return text.starts_with("HTTP/1.1 " + std::to_string(status) + ' ') &&
         text.find("Connection: close\r\n") != std::string::npos &&
         text.find("\"execution\":\"not_run\"") != std::string::npos &&
         text.find("HTTP/1.1", 1) == std::string::npos;
}

/// What the server says to `text` before it closes.
std::string answer_to(const std::string& text,
                      const ServerLimits& limits = small_limits()) {
  ServerFixture fixture(echo, limits);
  RawClient client(fixture.port);
  client.send(text);
  return client.read_all();
}

}  // namespace

Test(http_server_limits, oversize_header_gets_431) {
  cr_assert(one_refusal(
      answer_to("GET / HTTP/1.1\r\nX-Long: " + std::string(600, 'x')), 431));
}

Test(http_server_limits, oversize_body_gets_413_before_it_is_sent) {
  cr_assert(one_refusal(
      answer_to("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"), 413));
}

Test(http_server_limits, oversize_chunked_body_gets_413) {
  cr_assert(one_refusal(
      answer_to("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                "65\r\n" +
                std::string(101, 'b') + "\r\n0\r\n\r\n"),
      413));
}

Test(http_server_limits, malformed_requests_get_400) {
  for (const char* text :
       {"HELO example\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\na",
        "GET /a b HTTP/1.1\r\n\r\n"}) {
    cr_assert(one_refusal(answer_to(text), 400), "%s", text);
  }
}

// Failure: a client waits for its refusal and gets a reset instead.
Test(http_server_limits, refusal_reaches_a_client_that_is_still_sending) {
  const std::string body(4 * 1024 * 1024, 'b');
  cr_assert(
      one_refusal(answer_to("POST / HTTP/1.1\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body),
                  413));
}

Test(http_server_limits, request_that_drips_gets_408) {
  ServerLimits limits;
  limits.transfer_timeout = std::chrono::milliseconds(20);
  cr_assert(one_refusal(answer_to("POST / HTTP/1.1\r\nConte", limits), 408));
}

Test(http_server_limits, half_closed_request_gets_400) {
  ServerFixture fixture;
  RawClient client(fixture.port);
  client.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
  client.socket.shutdown(client.socket.shutdown_send);
  cr_assert(one_refusal(client.read_all(), 400));
}

Test(http_server_limits, idle_connection_is_closed_without_a_word) {
  ServerLimits limits;
  limits.idle_timeout = std::chrono::milliseconds(20);
  cr_assert(answer_to("", limits).empty());
}

Test(http_server_limits, connection_over_the_limit_gets_503) {
  ServerLimits limits;
  limits.connections = 1;
  ServerFixture fixture(echo, limits);
  RawClient first(fixture.port);
  first.send("GET /1 HTTP/1.1\r\n\r\n");
  first.read_until("GET /1 ");
  RawClient second(fixture.port);
  cr_assert(one_refusal(second.read_all(), 503));
  first.send("GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
  cr_assert(first.read_all().ends_with("GET /2 "));
}

Test(http_server_limits, pipelined_requests_are_answered_in_order) {
  ServerFixture fixture;
  RawClient client(fixture.port);
  client.send(
      "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
      "POST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\ntwo\r\n0\r\nX-Caller: forged\r\n\r\n"
      "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\nGET /4");
  const std::string text = client.read_all();
  const std::size_t first = text.find("POST /1 one");
  const std::size_t second = text.find("POST /2 two");
  const std::size_t third = text.find("GET /3 ");
  cr_assert(first < second && second < third);
  cr_assert(third != std::string::npos);
  cr_assert(text.find("GET /4") == std::string::npos);
}

Test(http_server_limits, expectation_is_met_before_the_body) {
  ServerFixture fixture;
  RawClient client(fixture.port);
  client.send(
      "POST / HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
  client.read_until("100 Continue\r\n\r\n");
  client.send("ok");
  client.read_until("POST / ok");
}

Test(http_server_limits, answer_to_head_has_a_length_and_no_body) {
  ServerFixture fixture;
  RawClient client(fixture.port);
  client.send("HEAD /x HTTP/1.1\r\nConnection: close\r\n\r\n");
  const std::string text = client.read_all();
  cr_assert(text.find("Content-Length: 8\r\n") != std::string::npos);
  cr_assert(text.ends_with("\r\n\r\n"));
}

// Failure: an old client hangs for a minute with its answer in hand.
Test(http_server_limits, connection_of_http_1_0_is_closed) {
  ServerFixture fixture;
  RawClient client(fixture.port);
  client.send("GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  cr_assert(client.read_all().ends_with("GET /x "));
}
