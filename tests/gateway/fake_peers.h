#ifndef IBISMUX_TESTS_GATEWAY_FAKE_PEERS_H_
#define IBISMUX_TESTS_GATEWAY_FAKE_PEERS_H_

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/peer/peer_network.h"

namespace ibismux::gateway::testing {

/// A peer network in this process, one object a daemon. Frames arrive at once,
/// on the sender's thread, unless the link is cut or frames are withheld.
class FakePeers : public peer::PeerNetwork {
 public:
  explicit FakePeers(std::string member) : me{std::move(member), 1} {}

  void connect(FakePeers& other) {
    this->links[other.me.member] = &other;
    other.links[this->me.member] = this;
  }

  [[nodiscard]] const Incarnation& self() const noexcept override {
    return this->me;
  }

  bool notify(const std::string& member,
              peer::MessageKind kind,
              std::string payload) override {
    FakePeers* other = nullptr;
    {
      std::lock_guard lock(this->mutex);
      ++this->sent[kind];
      if (this->cut || !this->links.contains(member)) {
        return false;
      }
      if (this->withholding) {
        this->withheld.emplace_back(member, kind, std::move(payload));
        return true;
      }
      other = this->links[member];
    }
    other->receive(this->me, kind, std::move(payload));
    return true;
  }

  [[nodiscard]] Task<Result<std::string>> request(std::string,
                                                  peer::MessageKind,
                                                  std::string,
                                                  TimePoint) override {
    co_return fail(ErrorKind::kPeerUnavailable, "not in this fake");
  }

  void on_notify(peer::MessageKind kind, NotifyHandler handler) override {
    this->handlers[kind] = std::move(handler);
  }
  void on_request(peer::MessageKind, RequestHandler) override {}
  void on_lost(LostHandler handler) override {
    this->lost = std::move(handler);
  }

  /// @name What the tests bring about
  /// @{
  void receive(const Incarnation& from,
               peer::MessageKind kind,
               std::string payload) {
    this->handlers.at(kind)(from, std::move(payload));
  }

  /// Frames to others are refused from now on.
  void cut_links(bool now_cut) {
    std::lock_guard lock(this->mutex);
    this->cut = now_cut;
  }

  /// Frames are accepted, but stay here until `deliver_withheld`.
  void withhold(bool now) {
    std::lock_guard lock(this->mutex);
    this->withholding = now;
  }

  void deliver_withheld() {
    std::vector<Frame> frames;
    {
      std::lock_guard lock(this->mutex);
      this->withholding = false;
      frames = std::exchange(this->withheld, {});
    }
    for (auto& [member, kind, payload] : frames) {
      this->links[member]->receive(this->me, kind, payload);
    }
  }

  void lose(const std::string& member) { this->lost({member, 1}); }

  /// The dial that withheld frames waited for fails: they are dropped.
  void fail_dial(const std::string& member) {
    {
      std::lock_guard lock(this->mutex);
      this->withheld.clear();
      this->cut = true;
    }
    this->lost({member, 0});
  }

  [[nodiscard]] int frames(peer::MessageKind kind) {
    std::lock_guard lock(this->mutex);
    return this->sent[kind];
  }
  /// @}

 private:
  using Frame = std::tuple<std::string, peer::MessageKind, std::string>;

  Incarnation me;
  std::mutex mutex;
  std::map<std::string, FakePeers*> links;
  std::map<peer::MessageKind, NotifyHandler> handlers;
  std::map<peer::MessageKind, int> sent;
  std::vector<Frame> withheld;
  LostHandler lost;
  bool cut = false;
  bool withholding = false;
};

}  // namespace ibismux::gateway::testing

#endif  // IBISMUX_TESTS_GATEWAY_FAKE_PEERS_H_
