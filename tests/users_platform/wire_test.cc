#include "ibismux/http/wire_format.h"
#include "platform/caller_wire.h"
#include "platform/forwarded_fields.h"
#include "platform/leaf_wire.h"

#include <criterion/criterion.h>

namespace ibismux::users_platform {
namespace {

using dispatch::LeafReply;
using std::chrono::milliseconds;

std::shared_ptr<const http::Request> request(
    std::vector<std::pair<std::string, std::string>> fields) {
  auto request = std::make_shared<http::Request>();
  request->method = "POST";
  request->target = "/p/1?x=2";
  request->fields = std::move(fields);
  request->body = "body";
  return request;
}

http::Response response(
    int status,
    std::vector<std::pair<std::string, std::string>> fields) {
  http::Response response;
  response.status = status;
  response.fields = std::move(fields);
  response.body = "body";
  return response;
}

Test(caller_wire, reads_who_asks_for_what_and_how_long) {
  const TimePoint now = Clock::now();
  const auto read = CallerWire().read(request({{"Host", "a.example:8080"},
                                               {"X-Request-Id", "r1"},
                                               {"X-Deadline-Ms", "1200"}}),
                                      now);
  cr_assert(read.has_value());
  cr_assert(read->id == "r1" && read->host == "a.example");
  cr_assert(read->path == "/p/1");
  cr_assert(read->deadline == now + milliseconds(1200));
  cr_assert(read->message->target == "/p/1?x=2");
  cr_assert(read->message->method == "POST" && read->message->body == "body");
}

Test(caller_wire, leafs_see_no_field_that_concerns_one_connection) {
  const auto read = CallerWire().read(request({{"Host", "a.example"},
                                               {"X-Request-Id", "r1"},
                                               {"x-deadline-ms", "1200"},
                                               {"x-expect-instance", "i-9"},
                                               {"Connection", "close, X-Hop"},
                                               {"X-Hop", "1"},
                                               {"Keep-Alive", "timeout=5"},
                                               {"TE", "trailers"},
                                               {"X-Kept", "yes"}}),
                                      Clock::now());
  cr_assert(read->message->fields == Fields({{"Host", "a.example"},
                                             {"X-Request-Id", "r1"},
                                             {"X-Kept", "yes"}}));
}

// Guards against keys at leafs, and against a caller that names a customer.
Test(caller_wire, leafs_see_neither_the_key_nor_a_customer_by_the_caller) {
  const auto read = CallerWire().read(request({{"Host", "a.example"},
                                               {"X-Request-Id", "r1"},
                                               {"authorization", "Bearer k1"},
                                               {"Authorization", "Basic k2"},
                                               {"x-tenant-id", "other"}}),
                                      Clock::now());
  cr_assert(read->message->fields ==
            Fields({{"Host", "a.example"}, {"X-Request-Id", "r1"}}));
  cr_assert(read->authorization ==
            std::vector<std::string>({"Bearer k1", "Basic k2"}));
  cr_assert(read->customer.empty());
}

Test(caller_wire, an_unknown_key_is_answered_401) {
  const auto written =
      CallerWire().write(fail(ErrorKind::kUnauthorized, "no key"));
  cr_assert(written.status == 401);
  cr_assert(written.field("WWW-Authenticate") == "Bearer");
}

Test(caller_wire, odd_requests_are_refused) {
  const CallerWire wire;
  cr_assert(!wire.read(request({{"Host", "a"}}), Clock::now()).has_value());
  for (const char* odd : {"x", "-1", "1.5", "12 ", "99999999999999999999"}) {
    cr_assert(!wire.read(request({{"Host", "a"},
                                  {"X-Request-Id", "r1"},
                                  {"X-Deadline-Ms", odd}}),
                         Clock::now())
                   .has_value());
  }
}

// Failure: a leaf runs a request under another id or for too long.
Test(caller_wire, a_field_that_decides_stands_once) {
  for (const char* repeated : {"x-request-id", "X-Deadline-Ms", "host"}) {
    cr_assert(!CallerWire()
                   .read(request({{"Host", "a"},
                                  {"X-Request-Id", "r1"},
                                  {"X-Deadline-Ms", "100"},
                                  {repeated, "1"}}),
                         Clock::now())
                   .has_value(),
              "%s", repeated);
  }
}

Test(caller_wire, a_request_without_a_host_is_refused) {
  for (const Fields& fields :
       {Fields{{"X-Request-Id", "r1"}},
        Fields{{"Host", ""}, {"X-Request-Id", "r1"}},
        Fields{{"Host", ":80"}, {"X-Request-Id", "r1"}}}) {
    const auto read = CallerWire().read(request(fields), Clock::now());
    cr_assert(!read.has_value());
    cr_assert(read.error().kind == ErrorKind::kInvalidRequest);
  }
}

Test(caller_wire, a_host_that_is_an_address_keeps_its_colons) {
  const auto read = CallerWire().read(
      request({{"Host", "[::1]:80"}, {"X-Request-Id", "r1"}}), Clock::now());
  cr_assert(read->host == "[::1]");
}

// Failure: a request reaches a leaf without its id.
Test(caller_wire, connection_can_not_name_what_is_for_the_leaf) {
  const auto read =
      CallerWire().read(request({{"Host", "a"},
                                 {"Connection", "Host, X-Request-Id, X-Hop"},
                                 {"X-Hop", "1"},
                                 {"X-Request-Id", "r1"}}),
                        Clock::now());
  cr_assert(read->message->fields ==
            Fields({{"Host", "a"}, {"X-Request-Id", "r1"}}));
}

Test(caller_wire, a_merged_answer_names_its_parts) {
  dispatch::MergedAnswer merged{{"a.1", "b.2"}, 1, "records"};
  const auto written = CallerWire().write(dispatch::Answer(merged));
  cr_assert(written.status == 200 && written.body == "records");
  cr_assert(written.field("X-Part-Stamps") == "a.1, b.2");
  cr_assert(written.field("X-Missing-Parts") == "1");
}

Test(caller_wire, a_leafs_answer_goes_back_as_it_is) {
  dispatch::LeafAnswer answer{404, {{"X-Server-Stamp", "a.1"}}, "none", "a.1"};
  const auto written = CallerWire().write(dispatch::Answer(answer));
  cr_assert(written.status == 404 && written.body == "none");
  cr_assert(written.field("X-Server-Stamp") == "a.1");
}

// Failure: a caller repeats a reservation that was made.
Test(caller_wire, only_what_has_not_run_gets_a_status_that_promises_it) {
  const CallerWire wire;
  for (std::size_t kind = 0; kind < kErrorKinds; ++kind) {
    Error error = make_error(static_cast<ErrorKind>(kind), "why");
    error.execution = Execution::kUnknown;
    const int unknown = wire.write(tl::unexpected(error)).status;
    cr_assert(unknown == 502 || unknown == 504);
    error.execution = Execution::kNotRun;
    error.retry_after = milliseconds(250);
    const auto refused = wire.write(tl::unexpected(error));
    cr_assert(refused.status < 500 || refused.status == 503);
    cr_assert(refused.field("Retry-After") == "0.250");
  }
}

dispatch::LeafCall call() {
  dispatch::LeafCall call;
  call.message = request({{"Host", "a"}, {"X-Request-Id", "r1"}});
  call.request_id = "r1";
  call.leaf_id = "i-1";
  return call;
}

Test(leaf_wire, a_call_names_the_customer) {
  dispatch::LeafCall sent = call();
  cr_assert(leaf_call_fields(sent, Clock::now()).size() == 2);
  sent.customer = "c1";
  const auto fields = leaf_call_fields(sent, Clock::now());
  cr_assert(fields.back().first == "X-Tenant-Id");
  cr_assert(fields.back().second == "c1");
}

Test(leaf_wire, a_call_names_the_instance_and_the_time_left) {
  const TimePoint now = Clock::now();
  dispatch::LeafCall sent = call();
  sent.deadline = now + milliseconds(750);
  std::string written;
  http::append_head(written, *sent.message, "", leaf_call_fields(sent, now));
  cr_assert(written.find("\r\nX-Expect-Instance: i-1\r\n") !=
            std::string::npos);
  cr_assert(written.find("\r\nX-Deadline-Ms: 750\r\n") != std::string::npos);
  cr_assert(written.find("\r\nX-Request-Id: r1\r\n") != std::string::npos);
  cr_assert(written.find(" /p/1?x=2 HTTP/1.1\r\n") != std::string::npos);
  cr_assert(sent.message->body == "body");
}

Test(leaf_wire, replies_are_told_apart) {
  const auto kind = [](int status, Fields fields) {
    return read_leaf_reply(response(status, std::move(fields)))->kind;
  };
  cr_assert(kind(200, {{"X-Server-Stamp", "a.1"}}) ==
            LeafReply::Kind::kSuccess);
  cr_assert(kind(500, {{"X-Server-Stamp", "a.1"}}) ==
            LeafReply::Kind::kFailure);
  cr_assert(kind(503, {{"X-Not-Executed", "1"}}) == LeafReply::Kind::kNotRun);
  cr_assert(kind(421, {{"X-Instance-Id", "i-2"}}) ==
            LeafReply::Kind::kOtherInstance);
  cr_assert(kind(503, {}) == LeafReply::Kind::kFailure);
}

Test(leaf_wire, loads_of_three_or_four_figures_are_read) {
  const auto three = read_leaf_load("3,1,4");
  cr_assert(three && three->running == 3 && three->waiting == 1);
  cr_assert(three->slots == 4 && !three->slowdown);
  const auto four = read_leaf_load("0, 12 , 4,250");
  cr_assert(four && four->waiting == 12 && four->slowdown == 2.5);
}

// Guards against an odd load that makes an answer odd, or a leaf look free.
Test(leaf_wire, odd_loads_are_passed_over) {
  for (const char* odd :
       {",", "1,2", "1,2,", "1,2,0", "1,2,3,0", "1,2,3,4,5", "1,2,3,100,",
        "-1,2,3", "1.5,2,3", "1;2;3", "a,b,c", "1,2,4294967296", " ",
        "1,2,3,1e2", "+1,2,3", "1 2,3,4"}) {
    cr_assert(!read_leaf_load(odd), "%s", odd);
    const auto reply = read_leaf_reply(
        response(200, {{"X-Server-Stamp", "a.1"}, {"X-Server-Load", odd}}));
    cr_assert(reply && reply->kind == LeafReply::Kind::kSuccess, "%s", odd);
    cr_assert(!reply->load && reply->has_unreadable_load, "%s", odd);
  }
  const auto without =
      read_leaf_reply(response(200, {{"X-Server-Stamp", "a"}}));
  cr_assert(!without->load && !without->has_unreadable_load);
}

Test(leaf_wire, a_success_that_nobody_signed_is_no_answer) {
  cr_assert(!read_leaf_reply(response(200, {})).has_value());
  cr_assert(!read_leaf_reply(response(200, {{"X-Server-Stamp", "a.1"},
                                            {"Content-Encoding", "gzip"}}))
                 .has_value());
}

}  // namespace
}  // namespace ibismux::users_platform
