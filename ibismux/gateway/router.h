#ifndef IBISMUX_GATEWAY_ROUTER_H_
#define IBISMUX_GATEWAY_ROUTER_H_

#include <prometheus/registry.h>

#include <memory>
#include <vector>

#include "ibismux/base/rcu_cell.h"
#include "ibismux/gateway/leaf_caller.h"
#include "ibismux/gateway/ownership_strategy.h"
#include "ibismux/membership/forward.h"
#include "ibismux/release/forward.h"

namespace ibismux::gateway {

/// Sends each call to the daemon that owns its leaf, which may be this one. A
/// call whose leaf came with a release that the owners are still computed for
/// waits until they are.
///
/// All methods are thread safe.
class Router : public LeafCaller {
 public:
  /// All references outlive the router.
  /// @param remote Null where there are no peers.
  Router(const RcuCell<release::Release>& releases,
         const RcuCell<membership::MembershipView>& members,
         LocalGateway& local,
         RemoteGateway* remote,
         std::unique_ptr<OwnershipStrategy> strategy,
         prometheus::Registry& metrics);
  ~Router() override;

  /// The release or the membership changed: computes the owners anew on a
  /// thread of its own, and tells the local gateway. Call it after each change.
  /// Changes that come while one is being computed are taken up together.
  void refresh();

  /// The table in force.
  [[nodiscard]] const RcuCell<OwnershipTable>& ownership() const noexcept;

  void call(LeafCallBatch batch,
            boost::asio::any_io_executor executor,
            Sink sink) override;
  void cancel(std::vector<CallId> calls) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_ROUTER_H_
