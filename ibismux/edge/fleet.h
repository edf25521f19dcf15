#ifndef IBISMUX_EDGE_FLEET_H_
#define IBISMUX_EDGE_FLEET_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/rcu_cell.h"
#include "ibismux/base/time.h"
#include "ibismux/dispatch/link_plan.h"
#include "ibismux/gather/forward.h"
#include "ibismux/membership/membership_service.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/peer/tcp_peer_network.h"

namespace ibismux::edge {

/// Which daemons share what leafs and services bear.
struct FleetSize {
  dispatch::LinkSharers sharers;
  /// The others were met, or a contact tells how many they are.
  bool known = false;
};

/// The other daemons: who they are, and the frames between them.
///
/// Belongs to the pool's first loop once started; not thread safe.
class Fleet {
 public:
  struct Settings {
    std::string member;
    std::string zone;
    std::string endpoint;  ///< "ip:port" where peers are accepted.
    double link_mbps = 0;  ///< Width of this host's link; 0: not known.
  };
  /// Called on the pool's first loop.
  struct Listeners {
    /// @param roles As the view gives them.
    std::function<void(const membership::MembershipView& view,
                       const gather::GatherRoles& roles)>
        on_view;
    /// `size()` has changed, by a view or by what a contact tells.
    std::function<void()> on_size;
  };

  /// All but `settings` and `listeners` outlive this and the pool's loop.
  Fleet(IoPool& pool,
        store::ObjectStore& store,
        prometheus::Registry& registry,
        Settings settings,
        Listeners listeners);

  [[nodiscard]] peer::PeerNetwork& network() noexcept { return this->peers; }

  /// Listens, and looks for the others. Precondition: all handlers of the
  /// network are set. Called once.
  /// @return "ip:port" where peers reach this daemon.
  [[nodiscard]] Result<std::string> start();

  /// Tells all that this daemon leaves.
  void announce_leaving() { this->membership.announce_leaving(); }

  /// Who is there now.
  [[nodiscard]] std::shared_ptr<const membership::MembershipView> members()
      const {
    return this->view.read();
  }

  /// The largest fleet of the last `kMemory`. Views of a fleet that is cut in
  /// two shrink on both sides, while leafs still bear the load of both: shares
  /// must not grow before the others are surely gone.
  [[nodiscard]] FleetSize size(TimePoint now);

 private:
  static constexpr std::chrono::seconds kMemory{30};
  /// Until then some others have not been met yet, and shares would be too
  /// large for a moment in which the whole fleet starts.
  static constexpr std::chrono::seconds kSettling{3};

  void take(const membership::MembershipView& view);
  void take(const std::vector<membership::Contact>& contacts);

  const Settings settings;
  RcuCell<membership::MembershipView> view;
  peer::TcpPeerNetwork peers;
  membership::MembershipService membership;
  const Listeners listeners;
  TimePoint started = TimePoint::max();
  bool size_known_by_contact = false;
  dispatch::LinkSharers largest;
  TimePoint largest_at = TimePoint::min();
  dispatch::LinkSharers current;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_FLEET_H_
