#include "tests/gateway/fake_leaf.h"
#include "tests/gateway/gateway_harness.h"

#include <criterion/criterion.h>

namespace ibismux::gateway {
namespace {

using testing::Answers;
using testing::eventually;
using testing::FakeLeaf;
using testing::GatewayHarness;

void say_another_shard(http::Response& response) {
  for (auto& [name, value] : response.fields) {
    value = name == "X-Shard" ? "another" : value;
  }
}

void say_leaving(http::Response& response) {
  response.add("X-Leaving", "1");
}

bool holds(FakeLeaf& leaf, int count) {
  return eventually([&] { return leaf.count("held") >= count; });
}

bool failed_with(const LeafAnswer& answer,
                 ErrorKind kind,
                 Execution execution) {
  return !answer.body && answer.body.error().kind == kind &&
         answer.body.error().execution == execution;
}

}  // namespace

Test(local_gateway, each_call_gets_its_answer) {
  FakeLeaf leaf;
  GatewayHarness harness;
  harness.apply({leaf.object()});
  Answers answers;
  harness.call(answers, 1, 50);
  cr_assert(answers.wait(50));
  for (std::size_t i = 0; i < 50; ++i) {
    cr_assert(answers[i].body.has_value());
    cr_assert(*answers[i].body == "body");
  }
  cr_assert(harness.gateway.in_flight() == 0);
  cr_assert(leaf.count("/v1/query") == 50);
}

Test(local_gateway, leaf_without_a_share_is_refused_not_run) {
  GatewayHarness harness;
  Answers answers;
  harness.call(answers, 1);
  cr_assert(answers.wait(1));
  cr_assert(
      failed_with(answers[0], ErrorKind::kPeerUnavailable, Execution::kNotRun));
}

// Failure: hits of another shard in an answer.
Test(local_gateway, connection_of_a_foreign_answer_is_not_reused) {
  FakeLeaf leaf;
  GatewayHarness harness;
  harness.apply({leaf.object()});
  // Two slots and the connection for cancels.
  cr_assert(eventually([&] { return leaf.count("/v1/health") == 3; }));
  leaf.twist(say_another_shard);
  Answers answers;
  harness.call(answers, 1);
  cr_assert(answers.wait(1));
  cr_assert(
      failed_with(answers[0], ErrorKind::kProtocolError, Execution::kUnknown));
  cr_assert(harness.metric("ibismux_leaf_answers_dropped_total", "foreign") ==
            1);
  leaf.twist(nullptr);
  harness.call(answers, 2, 4);
  cr_assert(answers.wait(5));
  cr_assert(answers[4].body.has_value());
  cr_assert(eventually([&] { return leaf.count("/v1/health") > 3; }));
}

// Failure: work for callers that are gone costs a connection or goes on.
Test(local_gateway, running_call_is_stopped_by_the_cancel_call) {
  FakeLeaf leaf;
  GatewayHarness harness;
  harness.apply({leaf.object()});
  leaf.hold(true);
  Answers answers;
  harness.call(answers, 1);
  cr_assert(holds(leaf, 1));
  cr_assert(eventually([&] { return harness.status().connections >= 2; }));
  const std::size_t open = harness.status().connections;
  harness.gateway.cancel({{1, 1}});
  cr_assert(answers.wait(1));
  cr_assert(answers[0].body.error().kind == ErrorKind::kCancelled);
  cr_assert(eventually([&] { return harness.status().in_flight == 0; }));
  cr_assert(leaf.count("/v1/cancel") == 1);
  cr_assert(harness.status().connections >= open);
  cr_assert(answers.size() == 1);
}

// Failure: a caller that gave up still waits.
Test(local_gateway, cancelled_query_is_answered_at_once) {
  FakeLeaf leaf;
  GatewayHarness harness;
  harness.apply({leaf.object()});
  leaf.ignore_cancels();
  leaf.hold(true);
  Answers answers;
  harness.call(answers, 1);
  cr_assert(holds(leaf, 1));
  harness.gateway.cancel({{1, 1}});
  cr_assert(answers.wait(1));
  cr_assert(
      failed_with(answers[0], ErrorKind::kCancelled, Execution::kUnknown));
  // The leaf is still at it, so its slot is not given to another call.
  cr_assert(harness.status().in_flight == 1);
  leaf.hold(false);
  cr_assert(eventually([&] { return harness.status().in_flight == 0; }));
  cr_assert(answers.size() == 1);
}

Test(local_gateway, queued_call_is_cancelled_not_run) {
  FakeLeaf leaf;
  GatewayHarness harness;
  harness.apply({leaf.object()});
  leaf.hold(true);
  Answers answers;
  harness.call(answers, 1, 4);
  cr_assert(holds(leaf, 2));
  harness.gateway.cancel({{1, 4}});
  cr_assert(answers.wait(1));
  cr_assert(answers[0].id.sequence == 4);
  cr_assert(failed_with(answers[0], ErrorKind::kCancelled, Execution::kNotRun));
  leaf.hold(false);
  cr_assert(answers.wait(4));
  cr_assert(leaf.count("/v1/query") == 3);
}

// Failure: a reservation is stopped half-way, and nobody knows its outcome.
Test(local_gateway, reservation_that_was_written_is_not_cancelled) {
  FakeLeaf leaf;
  GatewayHarness harness;
  harness.apply({leaf.object()});
  leaf.hold(true);
  Answers answers;
  harness.call(answers, 1, 1, LeafCallKind::kReservation);
  cr_assert(holds(leaf, 1));
  harness.gateway.cancel({{1, 1}});
  // Cancels go out in order: that of a query shows that none went before it.
  harness.call(answers, 2);
  cr_assert(holds(leaf, 2));
  harness.gateway.cancel({{1, 2}});
  cr_assert(answers.wait(1));
  cr_assert(answers[0].id.sequence == 2);
  cr_assert(eventually([&] { return harness.status().in_flight == 1; }));
  cr_assert(leaf.count("/v1/cancel") == 1);
  leaf.hold(false);
  cr_assert(answers.wait(2));
  cr_assert(answers[1].body.has_value());
}

Test(local_gateway, deadline_ends_a_running_call_and_frees_the_leaf) {
  FakeLeaf leaf;
  GatewayHarness harness;
  harness.apply({leaf.object()});
  leaf.hold(true);
  Answers answers;
  harness.call(answers, 1, 1, LeafCallKind::kQuery,
               std::chrono::milliseconds(300));
  cr_assert(answers.wait(1));
  cr_assert(answers[0].body.error().kind == ErrorKind::kDeadlineExceeded);
  cr_assert(eventually([&] { return harness.status().in_flight == 0; }));
  cr_assert(answers.size() == 1);
}

Test(local_gateway, reservation_past_its_deadline_is_outcome_unknown) {
  FakeLeaf leaf;
  GatewayHarness harness;
  harness.apply({leaf.object()});
  leaf.hold(true);
  Answers answers;
  harness.call(answers, 1, 1, LeafCallKind::kReservation,
               std::chrono::milliseconds(300));
  cr_assert(answers.wait(1));
  const bool written = leaf.count("held") == 1;
  cr_assert(!written || failed_with(answers[0], ErrorKind::kOutcomeUnknown,
                                    Execution::kUnknown));
  leaf.hold(false);
  // The leaf's late answer is not a second one.
  cr_assert(eventually([&] { return harness.status().in_flight == 0; }));
  cr_assert(answers.size() == 1);
}

// Failure: a backend server that drains gets new work until it is gone.
Test(local_gateway, leaf_that_says_it_leaves_gets_no_new_work) {
  FakeLeaf leaf;
  GatewayHarness harness;
  harness.apply({leaf.object()});
  leaf.twist(say_leaving);
  leaf.hold(true);
  Answers answers;
  harness.call(answers, 1, 6);
  cr_assert(holds(leaf, 2));
  leaf.hold(false);
  cr_assert(answers.wait(6));
  std::size_t not_run = 0;
  for (std::size_t i = 0; i < 6; ++i) {
    not_run +=
        failed_with(answers[i], ErrorKind::kLeafUnavailable, Execution::kNotRun)
            ? 1
            : 0;
  }
  cr_assert(not_run >= 3);
  cr_assert(harness.status().state == LeafState::kLeaving);
  const int ran = leaf.count("/v1/query");
  harness.call(answers, 10, 3);
  cr_assert(answers.wait(9));
  cr_assert(leaf.count("/v1/query") == ran);
}

Test(local_gateway, object_that_leaves_refuses_the_queue_and_ends_what_runs) {
  FakeLeaf leaf;
  GatewayHarness harness;
  release::BackendServer object = leaf.object();
  harness.apply({object});
  leaf.hold(true);
  Answers answers;
  harness.call(answers, 1, 4);
  cr_assert(holds(leaf, 2));
  object.leaving = true;
  harness.apply({object});
  cr_assert(answers.wait(2));
  cr_assert(
      failed_with(answers[0], ErrorKind::kLeafUnavailable, Execution::kNotRun));
  leaf.hold(false);
  cr_assert(answers.wait(4));
  cr_assert(answers[3].body.has_value());
}

// Failure: calls are cut when a daemon gives a leaf to another one.
Test(local_gateway, leaf_that_is_given_away_ends_what_runs) {
  FakeLeaf leaf;
  GatewayHarness harness;
  harness.apply({leaf.object()});
  leaf.hold(true);
  Answers answers;
  harness.call(answers, 1, 3);
  cr_assert(holds(leaf, 2));
  harness.apply({});
  cr_assert(answers.wait(1));
  cr_assert(
      failed_with(answers[0], ErrorKind::kPeerUnavailable, Execution::kNotRun));
  leaf.hold(false);
  cr_assert(answers.wait(3));
  cr_assert(answers[1].body.has_value());
  cr_assert(answers[2].body.has_value());
  cr_assert(eventually([&] { return leaf.connections() == 0; }));
}

// Failure: a leaf's connection limit is passed under load.
Test(local_gateway, connections_stay_within_the_share) {
  FakeLeaf leaf;
  GatewayHarness harness;
  release::BackendServer object = leaf.object();
  object.slots = 20;
  object.connections = 16;
  harness.apply({object});
  leaf.hold(true);
  Answers answers;
  harness.call(answers, 1, 20);
  cr_assert(holds(leaf, 3));
  cr_assert(eventually([&] { return harness.status().connections == 4; }));
  cr_assert(leaf.connections() <= 4);
  leaf.hold(false);
  cr_assert(answers.wait(20));
  cr_assert(leaf.connections() <= 4);
}

// Failure: a reservation's outcome is unknown though no leaf saw it.
Test(local_gateway, leaf_at_its_connection_limit_is_not_run) {
  http::ServerLimits limits;
  limits.connections = 1;
  FakeLeaf leaf(limits);
  GatewayHarness holder;
  holder.apply({leaf.object()});
  Answers held;
  holder.call(held, 1);
  cr_assert(held.wait(1));
  GatewayHarness harness;
  harness.apply({leaf.object()});
  Answers answers;
  harness.call(answers, 1, 1, LeafCallKind::kReservation);
  cr_assert(answers.wait(1));
  cr_assert(
      failed_with(answers[0], ErrorKind::kLeafUnavailable, Execution::kNotRun));
}

}  // namespace ibismux::gateway
