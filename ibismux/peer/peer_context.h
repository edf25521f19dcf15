#ifndef IBISMUX_PEER_PEER_CONTEXT_H_
#define IBISMUX_PEER_PEER_CONTEXT_H_

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "ibismux/base/rcu_cell.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/peer/handshake.h"
#include "ibismux/peer/peer_endpoint.h"
#include "ibismux/peer/peer_metrics.h"
#include "ibismux/peer/peer_network.h"
#include "ibismux/peer/peer_settings.h"

namespace ibismux::peer {

/// What all links of one daemon share. The handlers are set before the network
/// starts; all else is thread safe.
class PeerContext {
 public:
  using Seeds = std::map<std::string, PeerEndpoint, std::less<>>;

  PeerContext(PeerSettings settings,
              Incarnation self,
              const RcuCell<membership::MembershipView>& view,
              prometheus::Registry& registry);

  [[nodiscard]] Introduction introduction() const;
  /// Where to dial `member`: the view goes before the seeds; a member whose
  /// name is itself "ip:port" is dialled there.
  [[nodiscard]] std::optional<PeerEndpoint> address_of(
      const std::string& member) const;
  /// Counts a refused handshake, and logs it the first time for this peer and
  /// reason: a daemon of another cluster dials again and again.
  void note_refusal(const std::string& from, const std::string& reason);
  void notify_lost(const Incarnation& who) const;

  [[nodiscard]] const PeerNetwork::NotifyHandler& notify_handler(
      std::uint8_t kind) const {
    return this->notify_handlers[kind];
  }
  [[nodiscard]] const PeerNetwork::RequestHandler& request_handler(
      std::uint8_t kind) const {
    return this->request_handlers[kind];
  }

  const PeerSettings settings;
  const Incarnation self;
  PeerMetrics metrics;
  RcuCell<Seeds> seeds;

  std::array<PeerNetwork::NotifyHandler, 256> notify_handlers;
  std::array<PeerNetwork::RequestHandler, 256> request_handlers;
  std::vector<PeerNetwork::LostHandler> lost_handlers;

 private:
  const RcuCell<membership::MembershipView>& view;
  std::mutex refusal_mutex;
  std::map<std::string, std::string> refusals;  // Last reason by peer.
};

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_PEER_CONTEXT_H_
