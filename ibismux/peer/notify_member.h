#ifndef IBISMUX_PEER_NOTIFY_MEMBER_H_
#define IBISMUX_PEER_NOTIFY_MEMBER_H_

#include <memory>
#include <string>
#include <utility>

#include "ibismux/base/ids.h"
#include "ibismux/peer/peer_network.h"

namespace ibismux::peer {

/// Has notices of `kind` handled by `action` of `target`, as long as somebody
/// owns it.
///
///     peer::notify_member(this->network, MessageKind::kGatherTaken,
///                         this->weak_from_this(), &GatherClient::on_taken);
///
/// Precondition: the network has not started.
template <class T>
void notify_member(PeerNetwork& network,
                   MessageKind kind,
                   std::weak_ptr<T> target,
                   void (T::*action)(const Incarnation& from,
                                     const std::string& payload)) {
  network.on_notify(
      kind, [target = std::move(target), action](const Incarnation& from,
                                                 const std::string& payload) {
        if (const auto self = target.lock()) {
          (self.get()->*action)(from, payload);
        }
      });
}

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_NOTIFY_MEMBER_H_
