#ifndef IBISMUX_GATEWAY_GATEWAY_OWNERSHIP_H_
#define IBISMUX_GATEWAY_GATEWAY_OWNERSHIP_H_

#include "ibismux/gateway/ownership_strategy.h"

namespace ibismux::gateway {

/// Each leaf has one gateway, of its own availability zone where one serves
/// there, and two stand-bys.
///
/// Within a zone the leafs lie on a ring in order of their services, evenly; a
/// daemon sits where its name hashes to and takes the nearest leafs up to a
/// capacity. So the leafs that a query meets together have few gateways, none
/// has much more than the mean, and the going of one daemon moves leafs near
/// its seat alone. The stand-bys are the next nearest daemon and the nearest of
/// another zone. docs/design/ownership.md weighs the alternatives. Thread safe.
class GatewayOwnership : public OwnershipStrategy {
 public:
  [[nodiscard]] std::shared_ptr<const OwnershipTable> assign(
      const release::Release& release,
      const membership::MembershipView& view) const override;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_GATEWAY_OWNERSHIP_H_
