#ifndef IBISMUX_GATEWAY_DIRECT_OWNERSHIP_H_
#define IBISMUX_GATEWAY_DIRECT_OWNERSHIP_H_

#include "ibismux/gateway/ownership_strategy.h"

namespace ibismux::gateway {

/// Every daemon reaches every leaf itself, with its part of the connections.
///
/// The alternative that gateways are measured against: it saves a hop, and ends
/// where there are more daemons than connections. The members named in the view
/// share, whether they serve or not; a daemon names itself first. Thread safe.
class DirectOwnership : public OwnershipStrategy {
 public:
  [[nodiscard]] std::shared_ptr<const OwnershipTable> assign(
      const release::Release& release,
      const membership::MembershipView& view) const override;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_DIRECT_OWNERSHIP_H_
