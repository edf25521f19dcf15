#ifndef IBISMUX_GATEWAY_LOCAL_GATEWAY_H_
#define IBISMUX_GATEWAY_LOCAL_GATEWAY_H_

#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <vector>

#include "ibismux/base/forward.h"
#include "ibismux/base/task.h"
#include "ibismux/gateway/forward.h"
#include "ibismux/gateway/gateway_settings.h"
#include "ibismux/gateway/leaf_caller.h"
#include "ibismux/gateway/leaf_status.h"
#include "ibismux/release/forward.h"

namespace ibismux::gateway {

/// Holds this daemon's connections to leafs and the queues before them.
///
/// Each leaf lives on one event loop of the pool. All methods are thread safe.
class LocalGateway : public LeafCaller {
 public:
  /// @param pool Outlives the gateway; stopped before it is destroyed.
  LocalGateway(IoPool& pool,
               prometheus::Registry& metrics,
               GatewaySettings settings = {});
  ~LocalGateway() override;

  /// Takes up what `release` says of the leafs, and the connections that
  /// `table` gives to its own member. Leafs that it has no more connections to
  /// finish the calls they run.
  void apply(const release::Release& release, const OwnershipTable& table);

  void call(LeafCallBatch batch,
            boost::asio::any_io_executor executor,
            Sink sink) override;
  void cancel(std::vector<CallId> calls) override;

  /// Calls that wait or run.
  [[nodiscard]] std::size_t in_flight() const noexcept;

  /// What operators see, in order of names. Waits for every loop: not for the
  /// path of a request.
  [[nodiscard]] Task<std::vector<LeafStatus>> status();

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_LOCAL_GATEWAY_H_
