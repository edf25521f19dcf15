#include "ibismux/caller/answer_renderer.h"

#include <boost/json/parse.hpp>

#include "ibismux/query/query_answer.h"
#include "ibismux/reservation/reservation_answer.h"

#include <criterion/criterion.h>

using namespace ibismux;
using namespace ibismux::caller;
using boost::json::parse;
using reservation::KeyState;
using reservation::ReservationAnswer;

Test(caller_answer_renderer, query_answer_is_as_documented) {
  query::QueryAnswer answer;
  answer.snapshot = "s-7";
  answer.coverage = {3, {"s1", "s2"}, {{"s3", ErrorKind::kDeadlineExceeded}}};
  answer.hits = {{"h\"1", 1.5, "caf\xc3\xa9\n", "s1"}};
  answer.leaf_calls = 4;
  answer.hedges = 1;
  const auto response = render_query("id", answer);
  cr_assert(response.status == 200);
  cr_assert(response.field("content-type") == "application/json");
  cr_assert(parse(response.body) == parse(R"({
      "request_id":"id","snapshot":"s-7",
      "coverage":{"total":3,"contributed":["s1","s2"],
                  "missing":[{"shard":"s3","reason":"deadline_exceeded"}]},
      "hits":[{"id":"h\"1","score":1.5,"text":"caf\u00e9\n","shard":"s1"}],
      "cost":{"leaf_calls":4,"hedges":1,"retries":0,"restarts":0}})"));
}

Test(caller_answer_renderer, only_a_reservation_that_ran_is_a_200) {
  const ReservationAnswer ran{KeyState::kRun, "s1", "done", true};
  const auto response = render_reservation("id", ran);
  cr_assert(response.status == 200);
  cr_assert(parse(response.body) == parse(R"({"request_id":"id","state":"run",
      "shard":"s1","repeat":true,"result":"done"})"));
  const ReservationAnswer running{KeyState::kRunning, "s1", "", false};
  cr_assert(render_reservation("id", running).status == 202);
  const auto key = render_key("id", "k", {KeyState::kNotRun, "", "", false});
  cr_assert(key.status == 200);
  cr_assert(parse(key.body) ==
            parse(R"({"request_id":"id","key":"k","state":"not_run"})"));
}

// Failure: a caller can't parse the answer of a reservation that ran.
Test(caller_answer_renderer, result_that_is_not_text_is_given_in_hex) {
  const ReservationAnswer ran{KeyState::kRun, "s1", "\xff\x01", false};
  const auto object = parse(render_reservation("id", ran).body).as_object();
  cr_assert(object.at("result_hex") == "ff01");
  cr_assert(!object.contains("result"));
}

Test(caller_answer_renderer, every_error_kind_has_its_status_and_execution) {
  for (std::size_t i = 0; i < kErrorKinds; ++i) {
    const ErrorEntry& entry = error_entry(static_cast<ErrorKind>(i));
    const auto response = render_error("id", make_error(entry.kind, "why"));
    const auto object = parse(response.body).as_object();
    cr_assert(response.status == entry.http_status);
    cr_assert(object.at("error").as_string() == entry.name);
    cr_assert(object.at("execution") ==
              (entry.execution == Execution::kNotRun ? "not_run" : "unknown"));
    cr_assert(response.field("Retry-After").empty());
  }
}

Test(caller_answer_renderer, retry_after_is_rounded_up) {
  Error error = make_error(ErrorKind::kOverloaded, "full");
  error.retry_after = std::chrono::milliseconds(1001);
  const auto response = render_error("id", error);
  cr_assert(response.field("Retry-After") == "2");
  cr_assert(parse(response.body).at("retry_after_ms") == 1001);
}
