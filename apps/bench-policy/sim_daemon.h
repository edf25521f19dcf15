#ifndef IBISMUX_APPS_BENCH_POLICY_SIM_DAEMON_H_
#define IBISMUX_APPS_BENCH_POLICY_SIM_DAEMON_H_

#include <prometheus/registry.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "apps/bench-policy/sim_leaf.h"
#include "apps/bench-policy/timeline.h"
#include "ibismux/admission/admission.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/query/call_id_source.h"
#include "ibismux/query/gather.h"
#include "ibismux/query/policy_table.h"
#include "ibismux/query/replica_choice.h"
#include "ibismux/release/release.h"

namespace ibismux::bench {

/// How one query ended, as its caller sees it.
struct QueryEnd {
  std::string service;
  TimePoint sent;
  TimePoint done;
  std::optional<ErrorKind> error;
  bool refused_at_door = false;
  double coverage = 0;
  std::uint32_t calls = 0;
  std::uint32_t extra_calls = 0;
  std::uint32_t restarts = 0;
  bool mixed = false;           ///< A hit of another snapshot than it names.
  bool false_coverage = false;  ///< Names other shards than its hits are of.
};

/// Replaces the network and the leafs for the real policies.
struct SimWorld {
  Timeline& timeline;
  std::vector<std::unique_ptr<SimLeaf>>& leafs;
  Duration one_way;  ///< Between a daemon and a leaf.
};

/// An entry daemon: the real admission and query policies on virtual time.
class SimDaemon {
 public:
  using Done = std::function<void(QueryEnd)>;

  SimDaemon(SimWorld world,
            const RcuCell<release::Release>& releases,
            const std::string& name,
            std::size_t fleet,
            const query::ReplicaChoice& replicas,
            bool admits);

  void ask(const std::string& service, Done done);

 private:
  struct Query;

  void begin(const std::shared_ptr<Query>& query);
  void restart_if_wanted(Query& query);
  void perform(const std::shared_ptr<Query>& query);
  void send(const std::shared_ptr<Query>& query, const query::GatherCall& call);
  void wake(const std::shared_ptr<Query>& query);
  void end(Query& query);

  SimWorld world;
  const query::ReplicaChoice& replicas;
  prometheus::Registry metrics;
  RcuCell<membership::MembershipView> members;
  query::QueryMetrics query_metrics;
  query::PolicyTable table;
  query::CallIdSource ids;
  FractionBudget retries;
  admission::Admission admission;
  bool admits;
};

}  // namespace ibismux::bench

#endif  // IBISMUX_APPS_BENCH_POLICY_SIM_DAEMON_H_
