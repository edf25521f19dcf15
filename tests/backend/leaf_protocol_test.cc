#include "ibismux/backend/leaf_protocol.h"

#include <criterion/criterion.h>

#include "ibismux/backend/leaf_health.h"

namespace ibismux::backend {
namespace {

LeafRequest request(bool idempotent) {
  LeafRequest request;
  request.id = {7, 9};
  request.idempotent = idempotent;
  request.snapshot = "s2";
  request.shard = "a";
  request.deadline = TimePoint() + std::chrono::milliseconds(100);
  request.body = std::make_shared<const std::string>("torque");
  return request;
}

http::Response answer(int status) {
  http::Response response;
  response.status = status;
  if (status == 200) {
    response.add("X-Call-Id", to_string(CallId{7, 9}));
    response.add("X-Snapshot", "s2");
    response.add("X-Shard", "a");
    response.body = "hits";
  }
  return response;
}

http::Response refusal(int status, const char* reason) {
  http::Response response = answer(status);
  response.add("X-Execution", "not-run");
  response.add("X-Reason", reason);
  return response;
}

struct RefusalCase {
  int status;
  const char* reason;
  ErrorKind kind;
  LeafSignal signal;
};

constexpr RefusalCase kRefusals[] = {
    {410, "snapshot-gone", ErrorKind::kSnapshotGone, LeafSignal::kSnapshotGone},
    {429, "overloaded", ErrorKind::kOverloaded, LeafSignal::kOverloaded},
    {503, "draining", ErrorKind::kLeafUnavailable, LeafSignal::kDraining},
    {503, "warming", ErrorKind::kOverloaded, LeafSignal::kWarming},
    {499, "", ErrorKind::kCancelled, LeafSignal::kCancelled},
    {504, "", ErrorKind::kDeadlineExceeded, LeafSignal::kLeafTimeout},
};

}  // namespace

Test(leaf_protocol, request_carries_the_remaining_time) {
  const auto message =
      encode_call(request(false), TimePoint() + std::chrono::milliseconds(60));
  cr_assert(message->target == "/v1/reserve");
  cr_assert(message->field("X-Deadline-Ms") == "40");
  cr_assert(message->field("X-Call-Id") == to_string(CallId{7, 9}));
  cr_assert(message->field("X-Snapshot") == "s2");
  cr_assert(message->body == "torque");
}

Test(leaf_protocol, answer_that_echoes_the_call_is_used) {
  const LeafReply reply = interpret(request(true), answer(200));
  cr_assert(reply.body.has_value());
  cr_assert(*reply.body == "hits");
}

// Failure: a caller gets the hits of another caller's query, because an answer
// is taken for that of another call.
Test(leaf_protocol, answer_of_another_call_is_dropped) {
  for (const char* name : {"X-Call-Id", "X-Snapshot", "X-Shard"}) {
    http::Response response = answer(200);
    for (auto& [field, value] : response.fields) {
      value = field == name ? "other" : value;
    }
    const LeafReply reply = interpret(request(true), response);
    cr_assert(!reply.body);
    cr_assert(reply.signal == LeafSignal::kForeign);
    cr_assert(reply.body.error().execution == Execution::kUnknown);
  }
}

// Failure: a late refusal of another call is taken for this one, and a
// reservation that ran is reported as not run.
Test(leaf_protocol, refusal_of_another_call_does_not_prove_not_run) {
  http::Response response = refusal(429, "overloaded");
  response.add("X-Call-Id", to_string(CallId{7, 8}));
  const LeafReply reply = interpret(request(false), response);
  cr_assert(reply.signal == LeafSignal::kForeign);
  cr_assert(reply.body.error().kind == ErrorKind::kOutcomeUnknown);
  cr_assert(reply.body.error().execution == Execution::kUnknown);
}

Test(leaf_protocol, refusals_marked_not_run_are_reported_as_not_run) {
  for (const RefusalCase& row : kRefusals) {
    const LeafReply reply =
        interpret(request(false), refusal(row.status, row.reason));
    cr_assert(reply.signal == row.signal);
    cr_assert(reply.body.error().kind == row.kind);
    cr_assert(reply.body.error().execution == Execution::kNotRun);
  }
}

// Failure: a reservation that may have run is retried after an ambiguous
// failure, and runs twice.
Test(leaf_protocol, reservation_not_marked_not_run_is_outcome_unknown) {
  for (const int status : {429, 499, 500, 503, 504}) {
    const LeafReply reply = interpret(request(false), answer(status));
    cr_assert(reply.body.error().kind == ErrorKind::kOutcomeUnknown);
    cr_assert(reply.body.error().execution == Execution::kUnknown);
  }
  const LeafReply lost = interpret(
      request(false), fail(ErrorKind::kLeafUnavailable, "connection reset"));
  cr_assert(lost.body.error().kind == ErrorKind::kOutcomeUnknown);
}

Test(leaf_protocol, leaving_is_read_from_any_answer) {
  http::Response response = answer(200);
  response.add("X-Leaving", "1");
  cr_assert(interpret(request(true), response).leaving);
  cr_assert(interpret(request(true), refusal(503, "draining")).leaving);
  cr_assert(!interpret(request(true), answer(200)).leaving);
}

Test(leaf_protocol, malformed_health_is_unknown) {
  cr_assert(parse_health(R"({"state":"warming","load":0.5})").state ==
            LeafHealth::State::kWarming);
  for (const char* odd : {"", "[]", "{\"state\":1}", "{\"state\":\"fine\"}"}) {
    cr_assert(parse_health(odd).state == LeafHealth::State::kUnknown);
  }
}

}  // namespace ibismux::backend
