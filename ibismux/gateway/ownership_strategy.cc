#include "ibismux/gateway/ownership_strategy.h"

#include "ibismux/gateway/direct_ownership.h"
#include "ibismux/gateway/gateway_ownership.h"

namespace ibismux::gateway {

std::unique_ptr<OwnershipStrategy> make_ownership(std::string_view name) {
  if (name == "gateway") {
    return std::make_unique<GatewayOwnership>();
  }
  if (name == "direct") {
    return std::make_unique<DirectOwnership>();
  }
  return nullptr;
}

}  // namespace ibismux::gateway
