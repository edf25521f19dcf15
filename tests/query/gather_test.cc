#include "ibismux/query/gather.h"

#include "tests/query/query_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::query {
namespace {

PinnedSnapshot usual_pin(std::uint32_t shards, std::uint32_t replicas) {
  return pin_of(release_of(1, snapshot_of("n1", 1, shards, replicas)));
}

/// The leaf of each shard's first call.
std::vector<std::uint32_t> first_leafs(std::uint64_t seed) {
  const RandomReplica replicas;
  ServicePolicy service(0.95, 0.05);
  FractionBudget retries(100);
  Gather gather(
      {DeadlinePolicy(GatherFixture::at(1000), std::nullopt, 1.0), 10, seed},
      {replicas, service, retries});
  gather.start(usual_pin(64, 3), GatherFixture::kFirstSequence,
               GatherFixture::at(0));
  std::vector<std::uint32_t> leafs;
  for (const GatherCall& call : gather.take_starts()) {
    leafs.push_back(call.leaf);
  }
  return leafs;
}

// Guards against replica choices that repeat from query to query, so that some
// leafs get four calls at once while others are idle.
Test(gather, different_seeds_choose_different_replicas) {
  cr_assert(first_leafs(8) != first_leafs(9));
  cr_assert(first_leafs(8) == first_leafs(8));
}

Test(gather, a_full_answer_names_every_shard) {
  GatherFixture query(usual_pin(3, 1));
  cr_assert(query.started.size() == 3);
  for (const GatherCall& call : query.started) {
    query.answer_hit(call, 5);
  }
  cr_assert(query.gather.finished());
  const Result<QueryAnswer> answer = query.gather.take_result();
  cr_assert(answer.has_value());
  cr_assert(answer->snapshot == "n1");
  cr_assert(answer->coverage.contributed.size() == 3);
  cr_assert(answer->coverage.missing.empty());
  cr_assert(answer->hits.size() == 3);
  cr_assert(answer->hits[0].id == "h0");
  cr_assert(answer->leaf_calls == 3);
}

Test(gather, a_partial_answer_goes_out_at_answer_by) {
  GatherFixture query(usual_pin(3, 1), 0.6, milliseconds(100));
  query.answer_hit(query.started[0], 5);
  query.answer_hit(query.started[2], 6);
  cr_assert(query.gather.next_wake() == query.at(100));
  query.gather.on_timer(query.at(100));
  cr_assert(query.gather.finished());
  const Result<QueryAnswer> answer = query.gather.take_result();
  cr_assert(answer->coverage.contributed.size() == 2);
  cr_assert(answer->coverage.missing.size() == 1);
  cr_assert(answer->coverage.missing[0].shard == "s1");
  cr_assert(answer->coverage.missing[0].reason == ErrorKind::kDeadlineExceeded);
  cr_assert(query.gather.take_cancels().size() == 1);
}

Test(gather, after_answer_by_it_answers_once_coverage_is_sufficient) {
  GatherFixture query(usual_pin(3, 1), 0.6, milliseconds(100));
  query.answer_hit(query.started[0], 5);
  query.gather.on_timer(query.at(100));
  cr_assert(!query.gather.finished());
  query.answer_hit(query.started[1], 150);
  cr_assert(query.gather.finished());
}

Test(gather, without_answer_by_it_waits_for_the_deadline) {
  GatherFixture query(usual_pin(3, 1), 0.6);
  query.answer_hit(query.started[0], 5);
  query.answer_hit(query.started[1], 5);
  cr_assert(query.gather.next_wake() == query.at(1000));
  query.gather.on_timer(query.at(1000));
  cr_assert(query.gather.take_result()->coverage.contributed.size() == 2);
}

Test(gather, too_little_coverage_at_the_deadline_is_an_error) {
  GatherFixture query(usual_pin(3, 1));
  query.answer_hit(query.started[0], 5);
  query.gather.on_timer(query.at(1000));
  const Result<QueryAnswer> answer = query.gather.take_result();
  cr_assert(answer.error().kind == ErrorKind::kDeadlineExceeded);
  cr_assert(answer.error().execution == Execution::kUnknown);
  cr_assert(answer.error().retry_after.has_value());
}

// Guards against an answer with a hit of another query or with the same hit
// twice.
Test(gather, foreign_duplicate_and_late_answers_are_dropped) {
  GatherFixture query(usual_pin(2, 1));
  query.answer(GatherFixture::kFirstSequence - 1, body_of("foreign", 9), 1);
  query.answer(GatherFixture::kFirstSequence + 50, body_of("foreign", 9), 1);
  query.answer_hit(query.started[0], 2);
  query.answer(query.started[0].sequence, body_of("again", 9), 3);
  cr_assert(!query.gather.finished());
  query.answer_hit(query.started[1], 4);
  const Result<QueryAnswer> answer = query.gather.take_result();
  cr_assert(answer->hits.size() == 2);
  cr_assert(answer->hits[0].id == "h0");
  cr_assert(query.gather.counts().foreign == 2);
  cr_assert(query.gather.counts().late == 1);
}

// Guards against coverage that lists a shard whose hits were not merged.
Test(gather, a_malformed_answer_does_not_contribute) {
  GatherFixture query(usual_pin(2, 1), 0.5);
  query.answer_hit(query.started[0], 2);
  for (std::uint32_t i = 0; i < Gather::kMaxAttempts; ++i) {
    const GatherCall call = i == 0 ? query.started[1] : query.started[0];
    query.answer(call.sequence, R"({"hits":[{"id":"x")", 3);
    query.gather.on_timer(query.at(200 * (i + 1)));
    query.started = query.gather.take_starts();
    if (query.started.empty()) {
      break;
    }
  }
  cr_assert(query.gather.finished());
  const Result<QueryAnswer> answer = query.gather.take_result();
  cr_assert(answer->coverage.contributed.size() == 1);
  cr_assert(answer->coverage.missing[0].reason == ErrorKind::kProtocolError);
}

Test(gather, a_slow_call_is_hedged_and_cancelled_once_the_hedge_answers) {
  GatherFixture query(usual_pin(2, 2));
  query.learn_delay(milliseconds(20));
  query.answer_hit(query.started[0], 2);
  query.gather.on_timer(query.at(40));
  const std::vector<GatherCall> hedges = query.gather.take_starts();
  cr_assert(hedges.size() == 1);
  cr_assert(hedges[0].shard == query.started[1].shard);
  cr_assert(hedges[0].leaf != query.started[1].leaf);
  query.answer_hit(hedges[0], 45);
  cr_assert(query.gather.finished());
  const std::vector<std::uint64_t> cancels = query.gather.take_cancels();
  cr_assert(cancels.size() == 1);
  cr_assert(cancels[0] == query.started[1].sequence);
  cr_assert(query.gather.take_result()->hedges == 1);
}

// Guards against a query that waits for a slow call and a slow hedge of the
// same shard.
Test(gather, a_slow_hedge_is_followed_by_a_second_and_last_one) {
  GatherFixture query(usual_pin(1, 2));
  query.learn_delay(milliseconds(20));
  query.gather.on_timer(query.at(25));
  cr_assert(query.gather.take_starts().size() == 1);
  query.gather.on_timer(query.at(50));
  cr_assert(query.gather.take_starts().empty());
  query.gather.on_timer(query.at(70));
  const std::vector<GatherCall> last = query.gather.take_starts();
  cr_assert(last.size() == 1);
  query.gather.on_timer(query.at(500));
  cr_assert(query.gather.take_starts().empty());
  query.answer_hit(last[0], 501);
  cr_assert(query.gather.take_cancels().size() == 2);
  cr_assert(query.gather.take_result()->hedges == 2);
}

Test(gather, without_budget_nothing_is_hedged) {
  GatherFixture query(usual_pin(1, 2));
  query.learn_delay(milliseconds(20));
  while (query.service.take_hedge()) {
  }
  query.gather.on_timer(query.at(25));
  cr_assert(query.gather.take_starts().empty());
  query.service.calls_started(1000);
  query.gather.on_timer(query.gather.next_wake());
  cr_assert(query.gather.take_starts().size() == 1);
}

Test(gather, a_refusal_is_retried_on_another_replica_within_the_budget) {
  GatherFixture query(usual_pin(1, 2));
  query.refuse(query.started[0], ErrorKind::kOverloaded, 3);
  const std::vector<GatherCall> retries = query.gather.take_starts();
  cr_assert(retries.size() == 1);
  cr_assert(retries[0].leaf != query.started[0].leaf);
  query.answer_hit(retries[0], 6);
  cr_assert(query.gather.take_result()->retries == 1);
}

Test(gather, with_an_empty_retry_budget_a_refusal_fails_at_once) {
  GatherFixture query(usual_pin(1, 2));
  while (query.retries.take()) {
  }
  query.refuse(query.started[0], ErrorKind::kOverloaded, 3);
  cr_assert(query.gather.finished());
  const Result<QueryAnswer> answer = query.gather.take_result();
  cr_assert(answer.error().kind == ErrorKind::kOverloaded);
  cr_assert(answer.error().execution == Execution::kNotRun);
  cr_assert(query.gather.counts().retries_refused == 1);
}

Test(gather, a_leaving_leaf_gets_no_call) {
  auto release = release_of(1, snapshot_of("n1", 1, 4, 2));
  for (std::size_t i = 0; i < release->leafs.size(); i += 2) {
    release->leafs[i].leaving = true;
  }
  GatherFixture query(pin_of(release));
  for (const GatherCall& call : query.started) {
    cr_assert(call.leaf % 2 == 1);
  }
}

Test(gather, a_cancelled_query_cancels_its_calls) {
  GatherFixture query(usual_pin(3, 1));
  query.answer_hit(query.started[0], 1);
  query.gather.on_cancel(query.at(2));
  cr_assert(query.gather.finished());
  cr_assert(query.gather.take_cancels().size() == 2);
  cr_assert(query.gather.take_result().error().kind == ErrorKind::kCancelled);
}

// Guards against a stop that throws away the shards that have answered.
Test(gather, a_stop_ends_a_query_with_the_shards_that_are_in) {
  GatherFixture query(usual_pin(3, 1), 0.6);
  query.answer_hit(query.started[0], 1);
  query.answer_hit(query.started[2], 2);
  cr_assert(!query.gather.finished());
  query.gather.on_stop();
  cr_assert(query.gather.finished());
  cr_assert(query.gather.take_cancels().size() == 1);
  const Result<QueryAnswer> answer = query.gather.take_result();
  cr_assert(answer.has_value());
  cr_assert(answer->hits.size() == 2);
  cr_assert(answer->coverage.contributed.size() == 2);
  cr_assert(answer->coverage.missing.size() == 1);
  cr_assert(answer->coverage.missing[0].shard == "s1");
}

// Guards against a stop whose answer looks as if the caller had gone, or says
// that leafs with open calls ran nothing.
Test(gather, a_stop_ends_a_query_with_too_few_shards_as_its_deadline_does) {
  for (const int answers : {0, 1}) {
    GatherFixture query(usual_pin(3, 1), 0.6);
    if (answers > 0) {
      query.answer_hit(query.started[0], 1);
    }
    query.gather.on_stop();
    cr_assert(query.gather.finished());
    const Result<QueryAnswer> answer = query.gather.take_result();
    cr_assert(!answer.has_value());
    cr_assert(answer.error().kind == ErrorKind::kDeadlineExceeded);
    cr_assert(answer.error().execution == Execution::kUnknown);
    cr_assert(answer.error().retry_after.has_value());
  }
}

Test(gather, a_stop_leaves_an_outcome_as_it_is) {
  GatherFixture query(usual_pin(1, 1));
  query.answer_hit(query.started[0], 1);
  query.gather.on_stop();
  cr_assert(query.gather.take_result().has_value());
}

}  // namespace
}  // namespace ibismux::query
