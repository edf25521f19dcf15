#include "apps/bench-policy/sim_cluster.h"

#include <random>

namespace ibismux::bench {

namespace {

constexpr std::chrono::microseconds kOneWay{500};
constexpr int kSlowLeaf = 20;

std::string snapshot_name(std::uint64_t sequence) {
  return "n" + std::to_string(sequence);
}

/// Even snapshots have each shard of the odd ones split in two.
std::shared_ptr<const release::SnapshotView> snapshot_of(
    const ClusterSpec& spec,
    std::uint64_t sequence) {
  auto snapshot = std::make_shared<release::SnapshotView>();
  snapshot->name = snapshot_name(sequence);
  snapshot->sequence = sequence;
  for (std::uint32_t i = 0; i < spec.shards; ++i) {
    release::ShardView shard;
    shard.name = "s" + std::to_string(i);
    for (std::uint32_t j = 0; j < spec.replicas; ++j) {
      shard.replicas.push_back(i * spec.replicas + j);
    }
    if (sequence % 2 == 0) {
      snapshot->shards.push_back(shard);
      snapshot->shards.back().name += "a";
      shard.name += "b";
    }
    snapshot->shards.push_back(std::move(shard));
  }
  return snapshot;
}

std::shared_ptr<const release::Release> release_of(const ClusterSpec& spec,
                                                   std::uint64_t sequence) {
  auto release = std::make_shared<release::Release>();
  release->generation = sequence;
  for (std::uint32_t i = 0; i < spec.shards * spec.replicas; ++i) {
    release::BackendServer leaf;
    leaf.name = "a" + std::to_string(1'000'000 + i);
    leaf.slots = static_cast<std::uint32_t>(spec.slots);
    release->leafs.push_back(std::move(leaf));
  }
  for (const release::QueryService& service : spec.services) {
    auto view = std::make_shared<release::ServiceView>();
    view->spec = service;
    view->snapshots.push_back(snapshot_of(spec, sequence));
    release->services.emplace(service.name, std::move(view));
  }
  return release;
}

/// Any time up to `most`.
Duration up_to(Duration most, pcg64& random) {
  std::uniform_int_distribution<Duration::rep> any(0, most.count());
  return Duration(any(random));
}

}  // namespace

SimCluster::SimCluster(const ClusterSpec& spec,
                       const query::ReplicaChoice& replicas)
    : spec(spec), begin(this->timeline.now()), random(spec.seed) {
  for (std::uint32_t i = 0; i < spec.shards * spec.replicas; ++i) {
    this->leafs.push_back(std::make_unique<SimLeaf>(
        this->timeline, this->random, spec.work, spec.slots));
    if (i < spec.slow_leafs) {
      this->timeline.at(
          this->begin + spec.slow_from,
          [leaf = this->leafs.back().get()] { leaf->slow_down(kSlowLeaf); });
    }
    if (spec.half_refuse && i % 2 == 1) {
      this->leafs.back()->refuse_all();
    }
  }
  const auto first = release_of(spec, 1);
  for (std::size_t i = 0; i < spec.daemons; ++i) {
    this->releases.push_back(
        std::make_unique<RcuCell<release::Release>>(first));
    this->daemons.push_back(std::make_unique<SimDaemon>(
        SimWorld{this->timeline, this->leafs, kOneWay}, *this->releases[i],
        "d" + std::to_string(i), spec.daemons, replicas, spec.admits));
  }
}

std::vector<QueryEnd> SimCluster::run(const std::vector<Stream>& streams) {
  for (const Stream& stream : streams) {
    this->timeline.at(this->begin + stream.from,
                      [this, stream] { this->arrive(stream); });
  }
  if (this->spec.flips.has_value()) {
    this->plan_flips();
  }
  this->timeline.run();
  return std::move(this->ends);
}

void SimCluster::plan_flips() {
  const FlipModel& model = *this->spec.flips;
  std::uint64_t sequence = 2;
  for (Duration at = model.every; at < model.length; at += model.every) {
    this->timeline.at(this->begin + at,
                      [this, sequence] { this->flip(sequence); });
    ++sequence;
  }
}

void SimCluster::flip(std::uint64_t sequence) {
  const FlipModel& model = *this->spec.flips;
  const auto release = release_of(this->spec, sequence);
  for (const auto& cell : this->releases) {
    this->timeline.after(
        up_to(model.release_lag, this->random),
        [cell = cell.get(), release] { cell->write(release); });
  }
  for (const auto& leaf : this->leafs) {
    leaf->load(snapshot_name(sequence));
    this->timeline.after(up_to(model.drop_lag, this->random),
                         [leaf = leaf.get(), sequence] {
                           leaf->drop(snapshot_name(sequence - 1));
                         });
  }
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
