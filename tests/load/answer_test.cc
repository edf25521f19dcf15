#include "apps/ibismux-load/answer_check.h"
#include "apps/ibismux-load/recorder.h"

#include <string>

#include <criterion/criterion.h>

using ibismux::http::Response;
using ibismux::load::AnswerFacts;
using ibismux::load::LatencyHistogram;
using ibismux::load::read_answer;
using ibismux::load::Tally;

namespace {

Response answer(int status, std::string body) {
  Response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

Response query_answer(const std::string& hit_text) {
  return answer(200, R"({"snapshot":"v2","coverage":{"total":2,)"
                     R"("contributed":["s1"],"missing":[{"shard":"s2",)"
                     R"("reason":"deadline_exceeded"}]},"hits":[{"id":"a",)"
                     R"("score":1,"shard":"s1","text":")" +
                         hit_text +
                         R"("}],"cost":{"leaf_calls":3,"hedges":1}})");
}

}  // namespace

Test(answer, tells_coverage_and_cost) {
  const AnswerFacts facts = read_answer(query_answer("v2|s1|abc"), "abc");
  cr_assert(facts.shards == 2 && facts.contributed == 1);
  cr_assert(facts.leaf_calls == 3 && facts.hedges == 1);
  cr_assert(!facts.foreign);
}

Test(answer, a_part_of_another_request_snapshot_or_shard_is_foreign) {
  cr_assert(read_answer(query_answer("v2|s1|other"), "abc").foreign);
  cr_assert(read_answer(query_answer("v1|s1|abc"), "abc").foreign);
  cr_assert(read_answer(query_answer("v2|s9|abc"), "abc").foreign);
}

Test(answer, a_result_of_another_body_is_foreign) {
  const char* body = R"({"state":"run","result":"key|abc|call"})";
  cr_assert(!read_answer(answer(200, body), "abc").foreign);
  cr_assert(read_answer(answer(200, body), "abd").foreign);
}

Test(answer, a_refusal_without_retry_after_is_counted) {
  Tally tally;
  tally.add(read_answer(answer(503, R"({"error":"overloaded",)"
                                    R"("execution":"not_run"})"),
                        ""),
            std::chrono::milliseconds(1));
  tally.add(read_answer(answer(503, R"({"error":"overloaded",)"
                                    R"("retry_after_ms":250})"),
                        ""),
            std::chrono::milliseconds(1));
  cr_assert(tally.refused["overloaded"] == 2);
  cr_assert(tally.no_retry_after == 1);
}

Test(answer, what_is_not_json_is_unreadable) {
  cr_assert(read_answer(answer(200, "{"), "").error == "unreadable");
}

Test(tally, no_answer_is_a_cut) {
  Tally tally;
  tally.add(AnswerFacts{}, std::chrono::milliseconds(1));
  cr_assert(tally.cut == 1 && tally.ok == 0);
}

Test(histogram, quantiles_are_within_two_percent) {
  LatencyHistogram histogram;
  for (int i = 1; i <= 1000; ++i) {
    histogram.add(std::chrono::milliseconds(i));
  }
  cr_assert(histogram.quantile(0.5) >= 500 && histogram.quantile(0.5) < 510);
  cr_assert(histogram.quantile(0.99) >= 990 && histogram.quantile(0.99) < 1010);
}
