#ifndef TESTS_PEER_PEER_NODE_H_
#define TESTS_PEER_PEER_NODE_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <string>
#include <thread>

#include "ibismux/base/io_pool.h"
#include "ibismux/base/rcu_cell.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/peer/tcp_peer_network.h"
#include "tests/support/mailbox.h"

#include <prometheus/registry.h>

namespace ibismux::peer {

/// One daemon's network on loopback, and what it hears.
class PeerNode {
 public:
  explicit PeerNode(PeerSettings settings)
      : pool(2),
        view(std::make_shared<const membership::MembershipView>()),
        network(pool, std::move(settings), view, registry) {
    this->network.on_notify(MessageKind::kGossip,
                            [this](const Incarnation&, std::string payload) {
                              this->heard.put(std::move(payload));
                            });
    this->network.on_lost(
        [this](const Incarnation& who) { this->lost.put(who); });
  }

  explicit PeerNode(const std::string& member) : PeerNode(named(member)) {}

  ~PeerNode() { this->stop(); }

  static PeerSettings named(const std::string& member) {
    PeerSettings settings;
    settings.member = member;
    return settings;
  }

  void start() {
    this->port = this->network.start().value_or(0);
    this->pool.start();
  }

  /// Like a killed process: its connections are reset or ended.
  void stop() {
    this->network.stop();
    this->pool.stop();
  }

  /// Tells this node where `other` listens.
  void knows(const std::string& member, std::uint16_t where) {
    this->seeds[member] = {"127.0.0.1", where};
    this->network.set_seeds(this->seeds);
  }

  /// A peer sees the end of the handshake before this side uses the connection:
  /// a frame sent in between would be dialled for. Once counted, it is in use.
  void wait_for_connections(std::size_t count) {
    while (this->network.connections() != count) {
      std::this_thread::yield();
    }
  }

  /// Starts a probe request; its outcome goes to `outcomes`.
  void ask(const std::string& member, std::string payload) {
    boost::asio::co_spawn(this->pool.at(0),
                          this->run(member, std::move(payload)),
                          boost::asio::detached);
  }

  IoPool pool;
  RcuCell<membership::MembershipView> view;
  prometheus::Registry registry;
  TcpPeerNetwork network;
  std::uint16_t port = 0;
  tests::Mailbox<std::string> heard;
  tests::Mailbox<Incarnation> lost;
  tests::Mailbox<Result<std::string>> outcomes;

 private:
  Task<void> run(std::string member, std::string payload) {
    const TimePoint deadline = Clock::now() + std::chrono::seconds(20);
    Result<std::string> outcome = co_await this->network.request(
        std::move(member), MessageKind::kProbe, std::move(payload), deadline);
    this->outcomes.put(std::move(outcome));
  }

  TcpPeerNetwork::Seeds seeds;
};

}  // namespace ibismux::peer

#endif  // TESTS_PEER_PEER_NODE_H_
