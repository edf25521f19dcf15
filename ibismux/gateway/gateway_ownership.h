#ifndef IBISMUX_GATEWAY_GATEWAY_OWNERSHIP_H_
#define IBISMUX_GATEWAY_GATEWAY_OWNERSHIP_H_

#include "ibismux/gateway/ownership_strategy.h"

namespace ibismux::gateway {

/// Each leaf has one gateway, of its own availability zone where one serves
/// there, and stand-bys, by rendezvous hashing. Thread safe.
class GatewayOwnership : public OwnershipStrategy {
 public:
  [[nodiscard]] std::shared_ptr<const OwnershipTable> assign(
      const release::Release& release,
      const membership::MembershipView& view) const override;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_GATEWAY_OWNERSHIP_H_
