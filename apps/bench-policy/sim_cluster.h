#ifndef IBISMUX_APPS_BENCH_POLICY_SIM_CLUSTER_H_
#define IBISMUX_APPS_BENCH_POLICY_SIM_CLUSTER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "apps/bench-policy/sim_daemon.h"

namespace ibismux::bench {

/// How index snapshots replace each other while queries run. With each, shards
/// are split in two or merged again.
struct FlipModel {
  Duration every = std::chrono::seconds(2);
  Duration length{};  ///< Of the run.
  /// A daemon gets the release at a random time up to this after the flip.
  Duration release_lag = std::chrono::milliseconds(300);
  /// A leaf drops the older snapshot at a random time up to this after it.
  Duration drop_lag = std::chrono::milliseconds(300);
};

/// What one run simulates.
struct ClusterSpec {
  std::uint32_t shards = 30;
  std::uint32_t replicas = 2;
  int slots = 4;
  std::size_t daemons = 7;
  WorkModel work;
  /// Every second leaf refuses, so of each pair of replicas one.
  bool half_refuse = false;
  /// So many of the first leafs are 20 times slow, for every call.
  std::uint32_t slow_leafs = 0;
  Duration slow_from{};  ///< After the start.
  bool admits = false;
  std::vector<release::QueryService> services;
  std::optional<FlipModel> flips;
  std::uint64_t seed = 1;
};

/// Queries of one service at a steady rate, at random times.
struct Stream {
  std::string service;
  double per_second = 0;
  Duration from{};
  Duration to{};
};

/// Leafs, daemons and callers on one timeline. Every service is spread over
/// all leafs.
class SimCluster {
 public:
  SimCluster(const ClusterSpec& spec, const query::ReplicaChoice& replicas);

  /// Runs the streams to their end. @return How each query ended.
  std::vector<QueryEnd> run(const std::vector<Stream>& streams);

  /// Queries a second that all slots together can carry.
  [[nodiscard]] static double capacity(const ClusterSpec& spec);

  [[nodiscard]] TimePoint start() const noexcept { return this->begin; }
  [[nodiscard]] std::uint64_t leaf_calls() const;

 private:
  void arrive(const Stream& stream);
  void plan_flips();
  void flip(std::uint64_t sequence);

  ClusterSpec spec;
  Timeline timeline;
  TimePoint begin;
  pcg64 random;
  std::vector<std::unique_ptr<SimLeaf>> leafs;
  std::vector<std::unique_ptr<RcuCell<release::Release>>> releases;
  std::vector<std::unique_ptr<SimDaemon>> daemons;
  std::vector<QueryEnd> ends;
};

}  // namespace ibismux::bench

#endif  // IBISMUX_APPS_BENCH_POLICY_SIM_CLUSTER_H_
