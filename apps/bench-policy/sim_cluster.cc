#include "apps/bench-policy/sim_cluster.h"

#include <random>

namespace ibismux::bench {

namespace {

constexpr std::chrono::microseconds kOneWay{500};

std::shared_ptr<const release::SnapshotView> snapshot_of(
    const ClusterSpec& spec) {
  auto snapshot = std::make_shared<release::SnapshotView>();
  snapshot->name = "n1";
  snapshot->sequence = 1;
  for (std::uint32_t i = 0; i < spec.shards; ++i) {
    release::ShardView shard;
    shard.name = "s" + std::to_string(i);
    for (std::uint32_t j = 0; j < spec.replicas; ++j) {
      shard.replicas.push_back(i * spec.replicas + j);
    }
    snapshot->shards.push_back(std::move(shard));
  }
  return snapshot;
}

std::shared_ptr<const release::Release> release_of(const ClusterSpec& spec) {
  auto release = std::make_shared<release::Release>();
  release->generation = 1;
  for (std::uint32_t i = 0; i < spec.shards * spec.replicas; ++i) {
    release::BackendServer leaf;
    leaf.name = "a" + std::to_string(1'000'000 + i);
    leaf.slots = static_cast<std::uint32_t>(spec.slots);
    release->leafs.push_back(std::move(leaf));
  }
  for (const release::QueryService& service : spec.services) {
    auto view = std::make_shared<release::ServiceView>();
    view->spec = service;
    view->snapshots.push_back(snapshot_of(spec));
    release->services.emplace(service.name, std::move(view));
  }
  return release;
}

}  // namespace

SimCluster::SimCluster(const ClusterSpec& spec,
                       const query::ReplicaChoice& replicas)
    : begin(this->timeline.now()), random(spec.seed) {
  for (std::uint32_t i = 0; i < spec.shards * spec.replicas; ++i) {
    this->leafs.push_back(std::make_unique<SimLeaf>(
        this->timeline, this->random, spec.work, spec.slots));
    if (spec.half_refuse && i % 2 == 1) {
      this->leafs.back()->refuse_all();
    }
  }
  this->releases =
      std::make_unique<RcuCell<release::Release>>(release_of(spec));
  for (std::size_t i = 0; i < spec.daemons; ++i) {
    this->daemons.push_back(std::make_unique<SimDaemon>(
        SimWorld{this->timeline, this->leafs, kOneWay}, *this->releases,
        "d" + std::to_string(i), spec.daemons, replicas, spec.admits));
  }
}

std::vector<QueryEnd> SimCluster::run(const std::vector<Stream>& streams) {
  for (const Stream& stream : streams) {
    this->timeline.at(this->begin + stream.from,
                      [this, stream] { this->arrive(stream); });
  }
  this->timeline.run();
  return std::move(this->ends);
}

double SimCluster::capacity(const ClusterSpec& spec) {
  // Each query asks one replica of each shard.
  const double mean = std::chrono::duration<double>(spec.work.mean).count() *
                      (1 + spec.work.slow_share * (spec.work.slow_factor - 1));
  return spec.slots * spec.replicas / mean;
}

std::uint64_t SimCluster::leaf_calls() const {
  std::uint64_t calls = 0;
  for (const auto& leaf : this->leafs) {
    calls += leaf->calls();
  }
  return calls;
}

void SimCluster::arrive(const Stream& stream) {
  if (this->timeline.now() >= this->begin + stream.to) {
    return;
  }
  std::uniform_int_distribution<std::size_t> any(0, this->daemons.size() - 1);
  this->daemons[any(this->random)]->ask(stream.service, [this](QueryEnd end) {
    this->ends.push_back(std::move(end));
  });
  std::exponential_distribution<double> gap(stream.per_second);
  this->timeline.after(std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(gap(this->random))),
                       [this, stream] { this->arrive(stream); });
}

}  // namespace ibismux::bench
