#ifndef IBISMUX_DAEMON_LEAF_STATUS_CACHE_H_
#define IBISMUX_DAEMON_LEAF_STATUS_CACHE_H_

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <vector>

#include "ibismux/base/rcu_cell.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/gateway/forward.h"
#include "ibismux/gateway/leaf_status.h"

namespace ibismux::daemon {

/// The state of this daemon's leafs for the status page, which must not wait
/// for the loops that the leafs live on.
class LeafStatusCache {
 public:
  /// @param loop,gateway Outlive this; the loop has stopped before this ends.
  LeafStatusCache(boost::asio::io_context& loop,
                  gateway::LocalGateway& gateway);

  /// Begins to refresh, every `interval`. Precondition: not started.
  void start(Duration interval);

  /// As of the last refresh. Thread safe.
  [[nodiscard]] boost::json::value json() const;

 private:
  Task<> refresh(Duration interval);

  boost::asio::io_context& loop;
  gateway::LocalGateway& gateway;
  RcuCell<std::vector<gateway::LeafStatus>> cell;
};

}  // namespace ibismux::daemon

#endif  // IBISMUX_DAEMON_LEAF_STATUS_CACHE_H_
