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

/// On how many daemons a generation is in force, of how many.
struct InForceCount {
  std::size_t reached = 0;
  std::size_t members = 0;
};

/// Brings releases from the platform and from peers into this daemon's store,
/// passes them on, and knows how far they have come in the fleet.
///
/// Its work runs on the first loop of the pool.
class RelayService {
 public:
  /// Registers the network's handlers. Precondition: the network has not
  /// started; all references outlive this and the pool's threads.
  /// @param work Where releases are put in force.
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
  /// Ends all activity. Thread safe; idempotent.
  void stop();

  /// To be called from the store's listener: `generation` is in force here.
  /// Thread safe.
  void applied(Generation generation);

  /// On how many daemons `generation` or a higher one is in force, as of the
  /// last answers of the zones; asking makes them be asked again, for a while.
  /// Thread safe; does not block.
  [[nodiscard]] InForceCount in_force(Generation generation) const;

  /// This daemon's position in an order of the whole fleet, from 0. Thread
  /// safe.
  [[nodiscard]] std::size_t rank() const noexcept;

  /// For the status page. Thread safe.
  [[nodiscard]] boost::json::value status() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_RELAY_SERVICE_H_
