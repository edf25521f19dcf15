#ifndef IBISMUX_PEER_TCP_PEER_NETWORK_H_
#define IBISMUX_PEER_TCP_PEER_NETWORK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "ibismux/base/rcu_cell.h"
#include "ibismux/membership/forward.h"
#include "ibismux/peer/peer_endpoint.h"
#include "ibismux/peer/peer_network.h"
#include "ibismux/peer/peer_settings.h"

namespace prometheus {
class Registry;
}

namespace ibismux {
class IoPool;
}

namespace ibismux::peer {

/// Peers over TCP, with the frames that docs/PEERS.md describes.
///
/// Connections open when something is first sent to a member and close when
/// nothing passes for a while. A member's connections, and all handlers that
/// run for its frames, belong to one loop. The lost handler also runs, with
/// incarnation 0, when frames that `notify` took can't be sent since the dial
/// failed.
class TcpPeerNetwork : public PeerNetwork {
 public:
  using Seeds = std::map<std::string, PeerEndpoint, std::less<>>;

  /// Precondition: `pool`, `view` and `registry` outlive this. The incarnation
  /// is random and fresh.
  TcpPeerNetwork(IoPool& pool,
                 PeerSettings settings,
                 const RcuCell<membership::MembershipView>& view,
                 prometheus::Registry& registry);
  ~TcpPeerNetwork() override;

  /// @name Life
  /// @{

  /// Listens and accepts. Precondition: handlers are set; called once.
  /// @return The port; kPeerUnavailable if the address can't be bound.
  [[nodiscard]] Result<std::uint16_t> start();
  /// Stops accepting and says goodbye to all, so that they don't take this
  /// daemon for lost. Thread safe.
  void say_goodbye();
  /// How many connections are open: after `say_goodbye`, how many peers have
  /// not agreed yet; cutting those counts as a loss with them. Thread safe.
  [[nodiscard]] std::size_t connections() const noexcept;
  /// Stops accepting and cuts what is open. Thread safe; idempotent.
  void stop();
  /// @}

  /// Addresses of members that the view doesn't have yet; replaces the ones
  /// before. Thread safe.
  void set_seeds(Seeds seeds);

  /// Bytes of control frames in both directions since the start. Thread safe.
  [[nodiscard]] std::uint64_t control_bytes() const noexcept;

  const Incarnation& self() const noexcept override;
  bool notify(const std::string& member,
              MessageKind kind,
              std::string payload) override;
  Task<Result<std::string>> request(std::string member,
                                    MessageKind kind,
                                    std::string payload,
                                    TimePoint deadline) override;
  void on_notify(MessageKind kind, NotifyHandler handler) override;
  void on_request(MessageKind kind, RequestHandler handler) override;
  void on_lost(LostHandler handler) override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_TCP_PEER_NETWORK_H_
