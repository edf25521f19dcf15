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

/// The daemons among which the capacity of leafs and services is divided.
struct FleetSize {
  dispatch::LinkSharers sharers;
  /// Other members are known, or a contact entry holds the size of the fleet.
  bool known = false;
};

/// Membership of the daemons and the network between them.
///
/// Belongs to the pool's first loop once started; not thread safe.
class Fleet {
 public:
  struct Settings {
    std::string member;
    std::string zone;
    std::string endpoint;  ///< "ip:port" where peers are accepted.
    /// Bandwidth of this host's network link; 0 if unknown.
    double link_mbps = 0;
  };
  /// Called on the pool's first loop.
  struct Listeners {
    /// @param roles The roles that follow from `view`.
    std::function<void(const membership::MembershipView& view,
                       const gather::GatherRoles& roles)>
        on_view;
    /// `size()` has changed, through a view or a contact entry.
    std::function<void()> on_size_change;
  };

  /// All but `settings` and `listeners` must outlive this object and the pool's
  /// loop.
  Fleet(IoPool& pool,
        store::ObjectStore& store,
        prometheus::Registry& registry,
        Settings settings,
        Listeners listeners);

  [[nodiscard]] peer::PeerNetwork& network() noexcept { return this->peers; }

  /// Starts to listen and to discover the other members. Precondition: all
  /// handlers of the network are set. Called once.
  /// @return "ip:port" where peers reach this daemon.
  [[nodiscard]] Result<std::string> start();

  /// Announces to the other members that this daemon leaves.
  void announce_leaving() { this->membership.announce_leaving(); }

  /// Returns the current members.
  [[nodiscard]] std::shared_ptr<const membership::MembershipView> members()
      const {
    return this->view.read();
  }

  /// Returns the largest size of the fleet within the last `kSizeRetention`. In
  /// a network partition the views shrink on both sides, while leafs still bear
  /// the load of both, so shares must not grow before the other members are
  /// certainly gone.
  [[nodiscard]] FleetSize size(TimePoint now);

 private:
  static constexpr std::chrono::seconds kSizeRetention{30};
  /// Time after the start in which some members aren't known yet. Shares would
  /// be too large during it if the whole fleet starts at once.
  static constexpr std::chrono::seconds kStartupPeriod{3};

  void update(const membership::MembershipView& view);
  void update(const std::vector<membership::Contact>& contacts);

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
