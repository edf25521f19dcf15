#ifndef IBISMUX_GATEWAY_GATEWAY_LOOP_H_
#define IBISMUX_GATEWAY_GATEWAY_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "ibismux/gateway/gateway_context.h"
#include "ibismux/gateway/leaf_call.h"
#include "ibismux/gateway/leaf_channel.h"
#include "ibismux/release/backend_server.h"

namespace ibismux::gateway {

/// One leaf that a gateway is to hold connections to.
struct LeafShare {
  release::BackendServer leaf;
  std::size_t connections = 0;
  bool keep_warm = false;
};

/// The leafs of one event loop. All methods run on that loop.
class GatewayLoop : public std::enable_shared_from_this<GatewayLoop> {
 public:
  GatewayLoop(boost::asio::io_context& loop,
              std::shared_ptr<GatewayContext> context);

  /// These leafs and no others are this loop's.
  void apply(const std::vector<LeafShare>& shares);

  /// Queues the calls, or answers them at once.
  void call(std::vector<LeafCallBatch::Item> items,
            const std::shared_ptr<CallGroup>& group);

  /// Ids that are not of this loop are ignored.
  void cancel(const std::vector<CallId>& ids);

  [[nodiscard]] std::vector<LeafStatus> status() const;

 private:
  LeafChannel& channel(const std::string& name);
  void arm_tick();
  void tick();

  boost::asio::io_context& loop;
  std::shared_ptr<GatewayContext> context;
  std::shared_ptr<CallIndex> calls;
  std::unordered_map<std::string, std::shared_ptr<LeafChannel>> channels;
  boost::asio::steady_timer timer;
  bool ticking = false;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_GATEWAY_LOOP_H_
