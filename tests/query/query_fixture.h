#ifndef IBISMUX_TESTS_QUERY_QUERY_FIXTURE_H_
#define IBISMUX_TESTS_QUERY_QUERY_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include "ibismux/base/fraction_budget.h"
#include "ibismux/query/gather.h"
#include "ibismux/query/leaf_stats.h"
#include "ibismux/query/replica_choice.h"
#include "ibismux/query/service_policy.h"
#include "ibismux/release/release.h"

namespace ibismux::query {

using std::chrono::milliseconds;

/// A snapshot `name` with `shards` shards s0, s1, ... and `replicas` leafs per
/// shard. The leafs are a0, a1, ..., in the order of the shards.
inline std::shared_ptr<release::SnapshotView> snapshot_of(
    const std::string& name,
    std::uint64_t sequence,
    std::uint32_t shards,
    std::uint32_t replicas) {
  auto snapshot = std::make_shared<release::SnapshotView>();
  snapshot->name = name;
  snapshot->sequence = sequence;
  for (std::uint32_t i = 0; i < shards; ++i) {
    release::ShardView shard;
    shard.name = "s" + std::to_string(i);
    for (std::uint32_t j = 0; j < replicas; ++j) {
      shard.replicas.push_back(i * replicas + j);
    }
    snapshot->shards.push_back(shard);
  }
  return snapshot;
}

inline std::shared_ptr<release::Release> release_of(
    Generation generation,
    std::shared_ptr<release::SnapshotView> snapshot) {
  auto release = std::make_shared<release::Release>();
  release->generation = generation;
  for (const release::ShardView& shard : snapshot->shards) {
    for (std::size_t i = 0; i < shard.replicas.size(); ++i) {
      release::BackendServer leaf;
      leaf.name = "a" + std::to_string(release->leafs.size());
      release->leafs.push_back(leaf);
    }
  }
  auto service = std::make_shared<release::ServiceView>();
  service->spec.name = "catalogue";
  service->snapshots.push_back(std::move(snapshot));
  release->services.emplace("catalogue", std::move(service));
  return release;
}

inline PinnedSnapshot pin_of(std::shared_ptr<release::Release> release) {
  auto leafs = std::make_shared<std::vector<std::shared_ptr<LeafStats>>>();
  for (std::size_t i = 0; i < release->leafs.size(); ++i) {
    leafs->push_back(std::make_shared<LeafStats>());
  }
  auto snapshot = release->services.begin()->second->snapshots.front();
  return PinnedSnapshot{std::move(release), std::move(snapshot),
                        std::move(leafs)};
}

/// The body of a leaf's answer with one hit.
inline std::string body_of(const std::string& id, double score) {
  return R"({"hits":[{"id":")" + id + R"(","score":)" + std::to_string(score) +
         R"(,"text":"t"}]})";
}

/// A started `Gather` with its own policies and a simulated clock.
struct GatherFixture {
  explicit GatherFixture(PinnedSnapshot pin,
                         double min_coverage = 1.0,
                         std::optional<milliseconds> answer_by = std::nullopt)
      : gather(GatherPlan{DeadlinePolicy(
                              this->at(1000),
                              answer_by.has_value()
                                  ? std::optional(this->at(answer_by->count()))
                                  : std::nullopt,
                              min_coverage),
                          10, 7},
               GatherPolicies{this->replicas, this->service, this->retries}) {
    this->service.calls_started(1000);
    this->retries.deposit(1000, 0.1);
    this->gather.start(std::move(pin), kFirstSequence, this->at(0));
    this->started = this->gather.take_starts();
  }

  [[nodiscard]] static TimePoint at(std::int64_t ms) {
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
  }

  void answer(std::uint64_t sequence, Result<std::string> body, int ms) {
    this->gather.on_answer({{kOrigin, sequence}, std::move(body)},
                           this->at(ms));
  }

  void answer_hit(const GatherCall& call, int ms) {
    this->answer(call.sequence, body_of("h" + std::to_string(call.shard), 1),
                 ms);
  }

  void refuse(const GatherCall& call, ErrorKind kind, int ms) {
    this->answer(call.sequence, fail(kind, "refused"), ms);
  }

  /// Reports answers until the hedge delay is about `delay`.
  void learn_delay(milliseconds delay) {
    for (int i = 0; i < 256; ++i) {
      this->service.call_answered(delay, Duration::zero());
    }
  }

  static constexpr std::uint64_t kOrigin = 5;
  static constexpr std::uint64_t kFirstSequence = 1000;

  CheaperOfTwo replicas;
  ServicePolicy service{0.95, 0.05};
  FractionBudget retries{100};
  Gather gather;
  std::vector<GatherCall> started;
};

}  // namespace ibismux::query

#endif  // IBISMUX_TESTS_QUERY_QUERY_FIXTURE_H_
