#include "ibismux/gateway/remote_gateway.h"

#include <prometheus/registry.h>

#include "ibismux/gateway/leaf_calls_codec.h"
#include "tests/gateway/fake_peers.h"
#include "tests/gateway/gateway_harness.h"

#include <criterion/criterion.h>

namespace ibismux::gateway {
namespace {

using peer::MessageKind;
using testing::Answers;
using testing::eventually;
using testing::FakePeers;

/// Keeps what it is asked until the test answers.
class FakeCaller : public LeafCaller {
 public:
  void call(LeafCallBatch batch,
            boost::asio::any_io_executor executor,
            Sink sink) override {
    std::lock_guard lock(this->mutex);
    this->batches.push_back(std::move(batch));
    this->executors.push_back(std::move(executor));
    this->sinks.push_back(std::move(sink));
  }

  void cancel(std::vector<CallId> calls) override {
    std::lock_guard lock(this->mutex);
    this->cancelled.insert(this->cancelled.end(), calls.begin(), calls.end());
  }

  [[nodiscard]] bool wait_for_batches(std::size_t count) {
    return eventually([&] {
      std::lock_guard lock(this->mutex);
      return this->batches.size() >= count;
    });
  }

  [[nodiscard]] std::size_t cancels() {
    std::lock_guard lock(this->mutex);
    return this->cancelled.size();
  }

  /// Answers every item of batch `index` with `body`, in one turn of its loop.
  void answer_all(std::size_t index, const std::string& body) {
    cr_assert(this->wait_for_batches(index + 1));
    std::lock_guard lock(this->mutex);
    const LeafCallBatch batch = this->batches.at(index);
    const Sink sink = this->sinks.at(index);
    boost::asio::post(this->executors.at(index), [batch, sink, body] {
      for (const LeafCallBatch::Item& item : batch.items) {
        sink({{batch.origin, item.sequence}, body, {}, {}});
      }
    });
  }

  std::mutex mutex;
  std::vector<LeafCallBatch> batches;
  std::vector<boost::asio::any_io_executor> executors;
  std::vector<Sink> sinks;
  std::vector<CallId> cancelled;
};

/// An entry daemon and a gateway daemon.
class Pair {
 public:
  Pair()
      : pool(2),
        entry_peers("entry"),
        gateway_peers("gateway"),
        entry(this->pool,
              this->entry_peers,
              this->entry_local,
              this->entry_metrics),
        gateway(this->pool,
                this->gateway_peers,
                this->gateway_local,
                this->gateway_metrics) {
    this->entry_peers.connect(this->gateway_peers);
    this->pool.start();
  }
  ~Pair() { this->pool.stop(); }

  [[nodiscard]] bool call(Answers& answers,
                          std::size_t count,
                          LeafCallKind kind = LeafCallKind::kQuery,
                          Duration allowed = std::chrono::seconds(60)) {
    LeafCallBatch batch;
    batch.origin = 0xffff000000000001;
    batch.kind = kind;
    batch.service = "bay";
    batch.snapshot = "s";
    batch.priority = Priority::kDiagnostic;
    batch.deadline = Clock::now() + allowed;
    batch.body = std::make_shared<const std::string>("body");
    for (std::size_t i = 0; i < count; ++i) {
      batch.items.push_back({++this->sequence, "leaf", "shard"});
    }
    return this->entry.call("gateway", batch, this->pool.at(0).get_executor(),
                            answers.sink());
  }

  IoPool pool;
  std::uint64_t sequence = 0;
  FakePeers entry_peers;
  FakePeers gateway_peers;
  FakeCaller entry_local;
  FakeCaller gateway_local;
  prometheus::Registry entry_metrics;
  prometheus::Registry gateway_metrics;
  RemoteGateway entry;
  RemoteGateway gateway;
};

bool all_failed_with(Answers& answers, ErrorKind kind, Execution execution) {
  for (std::size_t i = 0; i < answers.size(); ++i) {
    if (answers[i].body || answers[i].body.error().kind != kind ||
        answers[i].body.error().execution != execution) {
      return false;
    }
  }
  return true;
}

LeafAnswer refused_answer() {
  Error error = make_error(ErrorKind::kOverloaded, "full");
  error.execution = Execution::kUnknown;
  error.retry_after = std::chrono::milliseconds(70);
  return {{1, ~0ULL}, tl::unexpected(error), {}, std::chrono::microseconds(9)};
}

}  // namespace

Test(remote_gateway, batch_travels_in_one_frame_and_answers_share_one) {
  Pair pair;
  Answers answers;
  cr_assert(pair.call(answers, 100));
  cr_assert(pair.gateway_local.wait_for_batches(1));
  const LeafCallBatch& seen = pair.gateway_local.batches[0];
  cr_assert(seen.items.size() == 100);
  cr_assert(seen.priority == Priority::kDiagnostic);
  cr_assert(*seen.body == "body");
  pair.gateway_local.answer_all(0, "hits");
  cr_assert(answers.wait(100));
  cr_assert(*answers[99].body == "hits");
  cr_assert(pair.entry_peers.frames(MessageKind::kLeafCalls) == 1);
  cr_assert(pair.gateway_peers.frames(MessageKind::kLeafAnswers) == 1);
}

Test(remote_gateway, unsent_frame_is_said_and_never_answered) {
  Pair pair;
  pair.entry_peers.cut_links(true);
  Answers answers;
  cr_assert(!pair.call(answers, 3));
  cr_assert(answers.size() == 0);
}

// Failure: queries wait for a dead gateway until their deadline.
Test(remote_gateway, lost_gateway_ends_its_calls_at_once) {
  Pair pair;
  Answers queries;
  cr_assert(pair.call(queries, 2));
  Answers reservations;
  cr_assert(pair.call(reservations, 1, LeafCallKind::kReservation));
  pair.entry_peers.lose("another");
  pair.entry_peers.lose("gateway");
  cr_assert(queries.wait(2));
  cr_assert(reservations.wait(1));
  cr_assert(all_failed_with(queries, ErrorKind::kPeerUnavailable,
                            Execution::kUnknown));
  cr_assert(all_failed_with(reservations, ErrorKind::kOutcomeUnknown,
                            Execution::kUnknown));
}

// Failure: a reservation that may have run is said not to have run.
Test(remote_gateway, failed_dial_leaves_the_outcome_of_reservations_open) {
  Pair pair;
  Answers reservations;
  cr_assert(pair.call(reservations, 1, LeafCallKind::kReservation));
  pair.entry_peers.fail_dial("gateway");
  cr_assert(reservations.wait(1));
  cr_assert(all_failed_with(reservations, ErrorKind::kOutcomeUnknown,
                            Execution::kUnknown));
}

// Failure: a query gets one answer twice, or another query's.
Test(remote_gateway, late_and_repeated_answers_are_dropped) {
  Pair pair;
  Answers answers;
  cr_assert(pair.call(answers, 1, LeafCallKind::kQuery,
                      std::chrono::milliseconds(50)));
  cr_assert(answers.wait(1));
  cr_assert(all_failed_with(answers, ErrorKind::kDeadlineExceeded,
                            Execution::kUnknown));
  pair.gateway_local.answer_all(0, "late");
  Answers second;
  cr_assert(pair.call(second, 1));
  pair.gateway_local.answer_all(1, "hits");
  cr_assert(second.wait(1));
  const std::vector<LeafAnswer> repeated = {
      {{0xffff000000000001, 2}, std::string("again"), {}, {}}};
  pair.entry_peers.receive({"gateway", 1}, MessageKind::kLeafAnswers,
                           encode_answers(repeated));
  cr_assert(answers.size() == 1);
  cr_assert(second.size() == 1);
}

// Failure: a part of one gateway's answers is another daemon's.
Test(remote_gateway, answer_of_another_member_is_dropped) {
  Pair pair;
  Answers answers;
  cr_assert(pair.call(answers, 1));
  const std::vector<LeafAnswer> foreign = {
      {{0xffff000000000001, 1}, std::string("foreign"), {}, {}}};
  pair.entry_peers.receive({"another", 1}, MessageKind::kLeafAnswers,
                           encode_answers(foreign));
  pair.gateway_local.answer_all(0, "hits");
  cr_assert(answers.wait(1));
  cr_assert(*answers[0].body == "hits");
}

Test(remote_gateway, cancel_and_loss_of_the_entry_stop_its_calls) {
  Pair pair;
  Answers answers;
  cr_assert(pair.call(answers, 3));
  pair.entry.cancel({{0xffff000000000001, 2}, {5, 5}});
  cr_assert(pair.gateway_local.cancels() == 1);
  pair.gateway_peers.lose("entry");
  cr_assert(eventually([&] { return pair.gateway_local.cancels() == 4; }));
}

// Guards against queries of peers that a stopping daemon leaves without an
// answer.
Test(remote_gateway, a_stop_cancels_the_calls_of_peers_that_are_open) {
  Pair pair;
  Answers first;
  cr_assert(pair.call(first, 1));
  pair.gateway_local.answer_all(0, "hits");
  cr_assert(first.wait(1));
  Answers second;
  cr_assert(pair.call(second, 3));
  cr_assert(pair.gateway_local.wait_for_batches(2));
  pair.gateway.cancel_served();
  cr_assert(eventually([&] { return pair.gateway_local.cancels() == 3; }));
}

Test(remote_gateway, malformed_frames_are_dropped) {
  Pair pair;
  for (const MessageKind kind :
       {MessageKind::kLeafCalls, MessageKind::kLeafAnswers,
        MessageKind::kLeafCancels}) {
    pair.entry_peers.receive({"gateway", 1}, kind, std::string(64, '\xff'));
  }
  cr_assert(pair.entry_local.batches.empty());
}

Test(remote_gateway, frames_keep_errors_and_odd_ids) {
  const auto decoded = decode_answers(encode_answers({refused_answer()}));
  cr_assert(decoded.has_value());
  const LeafAnswer& answer = decoded->at(0);
  cr_assert(answer.id.sequence == ~0ULL);
  cr_assert(answer.body.error().kind == ErrorKind::kOverloaded);
  cr_assert(answer.body.error().execution == Execution::kUnknown);
  cr_assert(answer.body.error().retry_after == std::chrono::milliseconds(70));
  cr_assert(answer.queue_time == std::chrono::microseconds(9));
}

}  // namespace ibismux::gateway
