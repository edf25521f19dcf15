#ifndef IBISMUX_GATEWAY_LEAF_HEALTH_POLICY_H_
#define IBISMUX_GATEWAY_LEAF_HEALTH_POLICY_H_

#include <cstddef>

#include "ibismux/backend/leaf_reply.h"
#include "ibismux/base/time.h"
#include "ibismux/gateway/ejection_budget.h"
#include "ibismux/gateway/gateway_settings.h"
#include "ibismux/gateway/leaf_status.h"

namespace ibismux::gateway {

/// Whether a leaf gets new calls, learned from what calls show.
///
/// Holds no clock. Not thread safe, but for the budget that it shares.
class LeafHealthPolicy {
 public:
  /// Both references outlive the policy.
  LeafHealthPolicy(const GatewaySettings& settings, EjectionBudget& budget);
  ~LeafHealthPolicy();
  LeafHealthPolicy(const LeafHealthPolicy&) = delete;
  LeafHealthPolicy& operator=(const LeafHealthPolicy&) = delete;

  /// The operator's object says whether the leaf leaves.
  void declare(bool leaving);

  /// @return Whether the leaf was ejected by this reply.
  bool on_reply(const backend::LeafReply& reply, TimePoint now);

  /// The leaf's process is another one now: its connections broke, and a new
  /// one was opened. What the one before said is void where this one is ready.
  /// @param ready Whether the new connection's leaf takes work.
  void on_restart(bool ready, TimePoint now);

  /// Whether a leaf that said it leaves may be asked again how it is.
  [[nodiscard]] bool may_return(TimePoint now) const noexcept;

  /// kReady, kWarming, kLeaving or kEjected.
  [[nodiscard]] LeafState state(TimePoint now) const noexcept;

  /// An ejection's time is up: gives its place in the budget back.
  void tick(TimePoint now);

 private:
  void readmit();

  const GatewaySettings& settings;
  EjectionBudget& budget;
  bool declared_leaving = false;
  bool says_leaving = false;
  TimePoint leaving_since{};
  bool warming = false;
  bool ejected = false;
  std::size_t failures = 0;
  std::size_t ejections = 0;  ///< Since the last answer.
  TimePoint ejected_until{};
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_LEAF_HEALTH_POLICY_H_
