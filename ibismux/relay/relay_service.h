#ifndef IBISMUX_RELAY_RELAY_SERVICE_H_
#define IBISMUX_RELAY_RELAY_SERVICE_H_

#include <boost/json/value.hpp>
#include <cstddef>
#include <memory>

#include "ibismux/base/ids.h"
#include "ibismux/base/rcu_cell.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/relay/relay_settings.h"
#include "ibismux/release/work_loop.h"

namespace prometheus {
class Registry;
}

namespace ibismux {
class IoPool;
}

namespace ibismux::peer {
class PeerNetwork;
}

namespace ibismux::store {
class ObjectStore;
}

namespace ibismux::release {
class ReleaseStore;
}

namespace ibismux::relay {

/// On how many daemons of the fleet a generation is in force.
struct InForceCount {
  std::size_t reached = 0;  ///< Daemons that have it or a higher one in force.
  std::size_t members = 0;  ///< Daemons of the fleet.
};

/// Fetches releases from the platform and from peers into this daemon's store,
/// pushes them to peers, and counts the daemons that have them in force.
///
/// Its work runs on the first loop of the pool.
class RelayService {
 public:
  /// Registers the network's handlers. Precondition: the network has not
  /// started; all references outlive this object and the pool's threads.
  /// @param work The loop on which releases are put in force.
  RelayService(RelaySettings settings,
               IoPool& pool,
               peer::PeerNetwork& network,
               store::ObjectStore& platform,
               release::ReleaseStore& releases,
               const RcuCell<membership::MembershipView>& view,
               prometheus::Registry& registry,
               release::WorkLoop work = nullptr);
  ~RelayService();

  /// Call once, after the network has started.
  void start();
  /// Stops all activity. Thread safe; idempotent.
  void stop();

  /// Must be called from the store's listener when `generation` has been put in
  /// force on this daemon. Thread safe.
  void on_applied(Generation generation);

  /// On how many daemons `generation` or a higher one is in force, according to
  /// the last answers of the zones. Each call makes the service poll the zones
  /// for the next few seconds. Thread safe; does not block.
  [[nodiscard]] InForceCount in_force(Generation generation) const;

  /// This daemon's position in an order of the whole fleet, from 0. Thread
  /// safe.
  [[nodiscard]] std::size_t rank() const noexcept;

  /// The section of the status page about releases. Thread safe.
  [[nodiscard]] boost::json::value status() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_RELAY_SERVICE_H_
