#ifndef IBISMUX_DAEMON_SOLO_NETWORK_H_
#define IBISMUX_DAEMON_SOLO_NETWORK_H_

#include "ibismux/peer/peer_network.h"

namespace ibismux::daemon {

/// A network without peers.
class SoloNetwork : public peer::PeerNetwork {
 public:
  explicit SoloNetwork(Incarnation self) : incarnation(std::move(self)) {}

  [[nodiscard]] const Incarnation& self() const noexcept override {
    return this->incarnation;
  }
  bool notify(const std::string&, peer::MessageKind, std::string) override {
    return false;
  }
  [[nodiscard]] Task<Result<std::string>> request(std::string,
                                                  peer::MessageKind,
                                                  std::string,
                                                  TimePoint) override {
    Error error = make_error(ErrorKind::kPeerUnavailable, "no peers");
    error.execution = Execution::kNotRun;
    co_return tl::unexpected(error);
  }
  void on_notify(peer::MessageKind, NotifyHandler) override {}
  void on_request(peer::MessageKind, RequestHandler) override {}
  void on_lost(LostHandler) override {}

 private:
  Incarnation incarnation;
};

}  // namespace ibismux::daemon

#endif  // IBISMUX_DAEMON_SOLO_NETWORK_H_
