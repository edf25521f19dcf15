#include "tests/gateway/fake_leaf.h"
#include "tests/gateway/gateway_harness.h"
#include "tests/gateway/raw_leaf.h"
#include "tests/support/bound_port.h"

#include <criterion/criterion.h>

namespace ibismux::gateway {
namespace {

using testing::Answers;
using testing::eventually;
using testing::FakeLeaf;
using testing::GatewayHarness;
using testing::RawLeaf;

/// 100 bytes are announced, 4 come.
constexpr const char* kTruncated =
    "HTTP/1.1 200 OK\r\n"
    "X-Call-Id: 00000000000000010000000000000001\r\n"
    "X-Snapshot: s\r\nX-Shard: shard\r\n"
    "Content-Length: 100\r\n\r\nhits";

bool is(const LeafAnswer& answer, ErrorKind kind, Execution execution) {
  return !answer.body && answer.body.error().kind == kind &&
         answer.body.error().execution == execution;
}

bool sees_connections(FakeLeaf& leaf, std::size_t count) {
  return eventually([&] { return leaf.connections() == count; });
}

bool has_queued(GatewayHarness& harness, std::size_t count) {
  return eventually([&] { return harness.status().queued >= count; });
}

}  // namespace

// Failure: an answer that covers a shard lacks half of its hits.
Test(leaf_faults, truncated_answer_is_dropped) {
  RawLeaf leaf(kTruncated);
  GatewayHarness harness;
  harness.apply({leaf.object()});
  Answers answers;
  harness.call(answers, 1);
  cr_assert(answers.wait(1));
  cr_assert(!answers[0].body);
  cr_assert(answers[0].body.error().execution == Execution::kUnknown);
  cr_assert(harness.metric("ibismux_leaf_answers_dropped_total", "truncated") ==
            1);
}

// Failure: a part is ordered twice.
Test(leaf_faults, reservation_is_written_once) {
  RawLeaf leaf(kTruncated);
  GatewayHarness harness;
  harness.apply({leaf.object()});
  Answers answers;
  harness.call(answers, 1, 1, LeafCallKind::kReservation);
  cr_assert(answers.wait(1));
  cr_assert(is(answers[0], ErrorKind::kOutcomeUnknown, Execution::kUnknown));
  // A query that goes the same way after it shows that nothing else was sent.
  harness.call(answers, 2);
  cr_assert(answers.wait(2));
  cr_assert(leaf.calls == 2);
}

// Failure: a leaf refuses connections that are within its limit.
Test(leaf_faults, paused_gateway_and_its_successors_stay_within_the_limit) {
  constexpr std::uint32_t kLimit = 25;
  constexpr std::size_t kHolders = 4;
  http::ServerLimits limits;
  limits.connections = kLimit;
  FakeLeaf leaf(limits);
  release::BackendServer object = leaf.object();
  object.slots = 20;
  object.connections = kLimit;
  leaf.hold(true);
  std::array<GatewayHarness, kHolders> holders;
  std::array<Answers, kHolders> answers;
  for (std::size_t i = 0; i < kHolders; ++i) {
    holders[i].apply({object});
    holders[i].call(answers[i], 100 * i, 20);
  }
  for (std::size_t i = 0; i < kHolders; ++i) {
    cr_assert(eventually(
        [&] { return holders[i].status().connections == kLimit / 4; }));
    cr_assert(has_queued(holders[i], 1));
  }
  // A holder counts a connection from when it begins to open it.
  cr_assert(sees_connections(leaf, kHolders * (kLimit / 4)));
  for (GatewayHarness& holder : holders) {
    cr_assert(holder.status().connections == kLimit / 4);
    cr_assert(
        holder.metric("ibismux_leaf_connections_opened_total", "failed") == 0);
  }
  leaf.hold(false);
  for (Answers& list : answers) {
    cr_assert(list.wait(20));
  }
}

// Failure: callers wait for a leaf that can't be reached.
Test(leaf_faults, unreachable_leaf_is_refused_at_once) {
  const tests::BoundPort nobody;
  release::BackendServer object;
  object.name = "leaf";
  object.address = "127.0.0.1";
  object.port = nobody.port();
  object.connect_cost = std::chrono::milliseconds(1);
  GatewayHarness harness;
  harness.apply({object});
  Answers answers;
  harness.call(answers, 1, 3);
  cr_assert(answers.wait(3));
  cr_assert(is(answers[2], ErrorKind::kLeafUnavailable, Execution::kNotRun));
  cr_assert(harness.status().state == LeafState::kUnreachable);
}

// Failure: a cold leaf gets its full load at once and falls over.
Test(leaf_faults, warming_leaf_gets_one_call_at_a_time) {
  FakeLeaf leaf;
  GatewayHarness harness;
  release::BackendServer object = leaf.object();
  object.slots = 4;
  harness.apply({object});
  leaf.twist([](http::Response& response) {
    response.status = 503;
    response.add("X-Execution", "not-run");
    response.add("X-Reason", "warming");
  });
  Answers answers;
  harness.call(answers, 1);
  cr_assert(answers.wait(1));
  cr_assert(is(answers[0], ErrorKind::kOverloaded, Execution::kNotRun));
  leaf.twist(nullptr);
  leaf.hold(true);
  harness.call(answers, 2, 4);
  cr_assert(eventually([&] { return leaf.count("held") == 1; }));
  cr_assert(harness.status().in_flight == 1);
  cr_assert(harness.status().queued == 3);
  leaf.hold(false);
  cr_assert(answers.wait(5));
}

}  // namespace ibismux::gateway
