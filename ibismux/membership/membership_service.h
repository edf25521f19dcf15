#ifndef IBISMUX_MEMBERSHIP_MEMBERSHIP_SERVICE_H_
#define IBISMUX_MEMBERSHIP_MEMBERSHIP_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ibismux/base/rcu_cell.h"
#include "ibismux/membership/contact_book.h"
#include "ibismux/membership/membership_settings.h"
#include "ibismux/membership/membership_view.h"

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

namespace ibismux::membership {

/// Runs the membership engine over the network and the platform's host list,
/// on the first loop of the pool, and publishes its view.
class MembershipService {
 public:
  /// Makes the network know where contacts listen.
  using ContactSink = std::function<void(const std::vector<Contact>&)>;
  using ViewListener = std::function<void(const MembershipView&)>;

  /// Registers the network's handlers. Precondition: the network has not
  /// started; all references outlive this and the pool's threads.
  MembershipService(MembershipSettings settings,
                    IoPool& pool,
                    peer::PeerNetwork& network,
                    store::ObjectStore& platform,
                    RcuCell<MembershipView>& view,
                    prometheus::Registry& registry,
                    ContactSink contact_sink);
  ~MembershipService();

  /// Contacts that the settings name ("ip:port"); kept beside the platform's
  /// list. Call before `start`.
  void set_static_contacts(const std::vector<std::string>& endpoints);

  /// `listener` runs on the first loop after each change of the view. Call
  /// before `start`.
  void on_view(ViewListener listener);

  /// Starts probing. `address` and `port` are where peers reach this daemon.
  /// Call once, after the network has started.
  void start(std::string address, std::uint16_t port, std::string zone);

  /// Tells all that this daemon leaves, so that they give it nothing new.
  /// Thread safe; idempotent.
  void announce_leaving();

  /// Ends all activity. Thread safe; idempotent.
  void stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_MEMBERSHIP_SERVICE_H_
