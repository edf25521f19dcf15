#ifndef IBISMUX_ADMISSION_PLAN_TABLE_H_
#define IBISMUX_ADMISSION_PLAN_TABLE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "ibismux/admission/admission_metrics.h"
#include "ibismux/admission/fleet_share.h"
#include "ibismux/admission/limit_counters_table.h"
#include "ibismux/admission/load_limiter.h"
#include "ibismux/base/rcu_cell.h"
#include "ibismux/membership/forward.h"
#include "ibismux/release/forward.h"

namespace ibismux::admission {

/// A limit policy as applied to one service.
struct PolicyPlan {
  std::shared_ptr<const release::LimitPolicy> policy;
  std::shared_ptr<const LimitShare> share;
  /// Null if each caller has its own.
  std::shared_ptr<LimitCounters> counters;
  /// Counts the requests that the policy refused.
  prometheus::Counter* refusal_counter = nullptr;
};

/// Everything that a request to one service is checked against.
struct ServicePlan {
  Priority priority = Priority::kCatalogue;
  std::vector<PolicyPlan> policies;
  std::shared_ptr<LoadLimiter> limiter;
  std::shared_ptr<ServiceMetrics> metrics;
};

/// The plans of all services for one release and one membership view.
/// Immutable.
struct PlanSet {
  std::shared_ptr<const release::Release> release;
  std::shared_ptr<const membership::MembershipView> members;
  std::map<std::string, std::shared_ptr<const ServicePlan>, std::less<>>
      services;
};

/// Rebuilds the plans when the release or the members change. Adaptive limits,
/// counters and metrics carry over.
///
/// Thread safe.
class PlanTable {
 public:
  /// All references must outlive the table.
  PlanTable(const RcuCell<release::Release>& releases,
            const RcuCell<membership::MembershipView>& members,
            LimitCountersTable& counters_table,
            AdmissionMetrics& metrics);

  [[nodiscard]] std::shared_ptr<const PlanSet> current(TimePoint now);

 private:
  std::shared_ptr<const PlanSet> rebuild(TimePoint now);

  const RcuCell<release::Release>& releases;
  const RcuCell<membership::MembershipView>& members;
  LimitCountersTable& counters_table;
  AdmissionMetrics& metrics;
  RcuCell<PlanSet> sets;
  std::mutex mutex;  ///< Serializes rebuilds.
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_PLAN_TABLE_H_
