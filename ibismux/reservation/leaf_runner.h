#ifndef IBISMUX_RESERVATION_LEAF_RUNNER_H_
#define IBISMUX_RESERVATION_LEAF_RUNNER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/forward.h"
#include "ibismux/base/rcu_cell.h"
#include "ibismux/base/task.h"
#include "ibismux/gateway/forward.h"
#include "ibismux/release/forward.h"
#include "ibismux/reservation/reservation_answer.h"
#include "ibismux/reservation/reservation_request.h"
#include "ibismux/reservation/retry_budget.h"

namespace ibismux::reservation {

/// Sends one reservation to a leaf, at most once.
///
/// Thread safe.
class LeafRunner {
 public:
  /// References outlive the runner.
  /// @param origin Prefix of this runner's call ids; no other part of the fleet
  /// uses the same.
  LeafRunner(std::uint64_t origin,
             const RcuCell<release::Release>& releases,
             gateway::LeafCaller& leafs);

  /// Runs `request` by `deadline`. It is tried again only while the answer to
  /// every earlier try was "not run". An error with kNotRun therefore means
  /// that no leaf ran it, and that none will.
  [[nodiscard]] Task<Result<ReservationAnswer>> run(ReservationRequest request,
                                                    TimePoint deadline);

 private:
  const std::uint64_t origin;
  const RcuCell<release::Release>& releases;
  gateway::LeafCaller& leafs;
  RetryBudget budget;
  std::atomic<std::uint64_t> sequence{0};
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_LEAF_RUNNER_H_
