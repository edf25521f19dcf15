#ifndef IBISMUX_QUERY_POLICY_TABLE_H_
#define IBISMUX_QUERY_POLICY_TABLE_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "ibismux/base/rcu_cell.h"
#include "ibismux/query/pinned_snapshot.h"
#include "ibismux/query/query_metrics.h"
#include "ibismux/query/service_policy.h"
#include "ibismux/release/forward.h"

namespace ibismux::query {

class LeafStats;

/// State that all queries of one service share.
struct ServiceState {
  ServicePolicy policy;
  std::unique_ptr<ServiceMetrics> metrics;
};

/// A release with the statistics of its leafs and services. Immutable except
/// for the statistics themselves.
struct PolicySet {
  std::shared_ptr<const release::Release> release;
  /// In the same order as the release's leafs.
  std::shared_ptr<const std::vector<std::shared_ptr<LeafStats>>> leafs;
  std::map<std::string, std::shared_ptr<ServiceState>, std::less<>> services;
};

/// Keeps the statistics of leafs and services across releases, by their names.
///
/// Thread safe.
class PolicyTable {
 public:
  /// Both outlive the table.
  PolicyTable(const RcuCell<release::Release>& releases, QueryMetrics& metrics);

  /// The newest release with its statistics. Costs two reference count updates
  /// unless the release has changed.
  [[nodiscard]] std::shared_ptr<const PolicySet> current();

  /// The newest snapshot of `service` if its sequence is greater than
  /// `after_sequence`.
  [[nodiscard]] std::optional<PinnedSnapshot> newer_snapshot(
      const std::string& service,
      std::uint64_t after_sequence);

 private:
  std::shared_ptr<const PolicySet> rebuild();

  const RcuCell<release::Release>& releases;
  QueryMetrics& metrics;
  RcuCell<PolicySet> sets;
  std::mutex mutex;  ///< Serializes `rebuild`.
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_POLICY_TABLE_H_
