#ifndef IBISMUX_GATEWAY_OWNERSHIP_STRATEGY_H_
#define IBISMUX_GATEWAY_OWNERSHIP_STRATEGY_H_

#include <memory>
#include <string_view>

#include "ibismux/gateway/forward.h"
#include "ibismux/membership/forward.h"
#include "ibismux/release/forward.h"

namespace ibismux::gateway {

/// Decides which daemons reach which leafs, and with how many connections.
///
/// Thread safe: it holds no state.
class OwnershipStrategy {
 public:
  virtual ~OwnershipStrategy() = default;

  /// The table for `release` and the members that `view` holds to serve. A pure
  /// function of its arguments.
  [[nodiscard]] virtual std::shared_ptr<const OwnershipTable> assign(
      const release::Release& release,
      const membership::MembershipView& view) const = 0;
};

/// "gateway": each leaf has one gateway and a few stand-bys. "direct": every
/// daemon reaches every leaf with its part of the connections. Null for any
/// other name. Thread safe.
[[nodiscard]] std::unique_ptr<OwnershipStrategy> make_ownership(
    std::string_view name);

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_OWNERSHIP_STRATEGY_H_
