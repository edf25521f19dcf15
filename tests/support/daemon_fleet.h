#ifndef TESTS_SUPPORT_DAEMON_FLEET_H_
#define TESTS_SUPPORT_DAEMON_FLEET_H_

#include <unistd.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "ibismux/base/io_pool.h"
#include "ibismux/membership/membership_service.h"
#include "ibismux/peer/tcp_peer_network.h"
#include "ibismux/relay/relay_service.h"
#include "ibismux/release/release_store.h"
#include "tests/support/memory_object_store.h"

#include <prometheus/registry.h>

namespace ibismux::tests {

/// The control side of one daemon, over real sockets and a platform in memory.
class ControlNode {
 public:
  ControlNode(const std::string& name,
              const std::string& zone,
              store::ObjectStore& platform,
              const std::vector<std::string>& contacts)
      : zone(zone),
        pool(1),
        view(std::make_shared<const membership::MembershipView>()),
        network(pool, settings_of(name, zone), view, registry),
        members({},
                pool,
                network,
                platform,
                view,
                registry,
                [this](const std::vector<membership::Contact>& contacts) {
                  this->take(contacts);
                }),
        relay({}, pool, network, platform, releases, view, registry) {
    this->releases.on_change(
        [this](Generation generation) { this->relay.on_applied(generation); });
    this->members.set_static_contacts(contacts);
    this->port = this->network.start().value_or(0);
    this->members.start("127.0.0.1", this->port, zone);
    this->relay.start();
    this->pool.start();
  }

  ~ControlNode() {
    this->relay.stop();
    this->members.stop();
    this->network.stop();
    this->pool.stop();
  }

  /// Stops the daemon's thread, as SIGSTOP does: its kernel goes on to accept
  /// and acknowledge. Ends when the returned promise is kept.
  [[nodiscard]] std::shared_ptr<std::promise<void>> freeze() {
    auto thaw = std::make_shared<std::promise<void>>();
    boost::asio::post(this->pool.at(0), [waiting = thaw->get_future().share()] {
      waiting.wait();
    });
    return thaw;
  }

  [[nodiscard]] std::string endpoint() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

  const std::string zone;
  IoPool pool;
  RcuCell<membership::MembershipView> view;
  prometheus::Registry registry;
  release::ReleaseStore releases;
  peer::TcpPeerNetwork network;
  membership::MembershipService members;
  relay::RelayService relay;
  std::uint16_t port = 0;

 private:
  static peer::PeerSettings settings_of(const std::string& name,
                                        const std::string& zone) {
    peer::PeerSettings settings;
    settings.member = name;
    settings.zone = zone;
    // A port that one daemon left may be a daemon's of another test, and of the
    // same name: to this cluster it is a stranger.
    settings.cluster = "test-" + std::to_string(::getpid());
    return settings;
  }

  void take(const std::vector<membership::Contact>& contacts) {
    peer::TcpPeerNetwork::Seeds seeds;
    for (const membership::Contact& contact : contacts) {
      seeds[contact.name] = {contact.address, contact.port};
    }
    this->network.set_seeds(std::move(seeds));
  }
};

/// Several of them in three availability zones.
class DaemonFleet {
 public:
  explicit DaemonFleet(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->start(i);
    }
  }

  static std::string name(std::size_t i) { return "d" + std::to_string(i); }

  /// Starts or restarts a daemon, which knows one other's address.
  void start(std::size_t i) {
    this->nodes.erase(i);
    std::vector<std::string> contacts;
    for (const auto& [other, node] : this->nodes) {
      contacts.push_back(node->endpoint());
    }
    this->nodes[i] = std::make_unique<ControlNode>(
        name(i), "z" + std::to_string(i % 3), this->platform, contacts);
  }

  void kill(std::size_t i) { this->nodes.erase(i); }

  /// Waits until `condition` holds for every daemon. @return Whether it did.
  template <class Condition>
  bool wait(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (std::chrono::steady_clock::now() < end) {
      bool all = true;
      for (const auto& [i, node] : this->nodes) {
        all = all && condition(*node);
      }
      if (all) {
        return true;
      }
      std::this_thread::sleep_for(kStep);
    }
    return false;
  }

  /// Waits until each sees as many daemons serve as there are.
  bool wait_for_members() {
    const std::size_t count = this->nodes.size();
    return this->wait([count](const ControlNode& node) {
      const auto view = node.view.read();
      return view->members.size() >= count && view->serving() == count;
    });
  }

  bool wait_for_generation(Generation generation) {
    return this->wait([generation](const ControlNode& node) {
      return node.releases.generation() >= generation;
    });
  }

  testing::MemoryObjectStore platform;
  std::map<std::size_t, std::unique_ptr<ControlNode>> nodes;

 private:
  static constexpr std::chrono::seconds kLimit{60};
  static constexpr std::chrono::milliseconds kStep{10};
};

}  // namespace ibismux::tests

#endif  // TESTS_SUPPORT_DAEMON_FLEET_H_
