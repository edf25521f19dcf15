#ifndef TESTS_SUPPORT_FAKE_PEER_NETWORK_H_
#define TESTS_SUPPORT_FAKE_PEER_NETWORK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/peer/peer_network.h"

namespace ibismux::tests {

/// Several daemons in memory, for the tests of packages that talk to peers.
///
///     boost::asio::io_context loop;
///     FakePeerCluster cluster;
///     auto& a = cluster.add({"a", 1}, loop.get_executor());
///     auto& b = cluster.add({"b", 2}, loop.get_executor());
///     cluster.hold("a", "b");          // Frames wait on the way...
///     a.notify("b", kind, "payload");
///     cluster.deliver_held("a", "b");  // ...and arrive in order.
///     cluster.cut("a", "b");           // Both hear on_lost.
///
/// Frames and handlers run on the executor of the member that receives them.
/// Thread safe.
class FakePeerCluster {
 public:
  /// A new member; replaces one of the same name (a restart).
  peer::PeerNetwork& add(Incarnation self, boost::asio::any_io_executor where);

  /// @name Faults
  /// @{

  /// Breaks the link both ways: frames held on it are lost, requests under way
  /// fail with an unknown outcome, both sides hear on_lost.
  void cut(const std::string& a, const std::string& b);
  /// Ends a cut.
  void heal(const std::string& a, const std::string& b);
  /// Frames (requests, responses, notifications) from `from` to `to` wait.
  void hold(const std::string& from, const std::string& to);
  /// Delivers what waits, and ends the hold.
  void deliver_held(const std::string& from, const std::string& to);
  /// How many frames wait.
  [[nodiscard]] std::size_t held(const std::string& from,
                                 const std::string& to);
  /// The member is gone, like a killed process.
  void crash(const std::string& member);
  /// @}

  /// How many frames of `kind` were accepted for sending, responses not
  /// counted.
  [[nodiscard]] std::size_t sent(peer::MessageKind kind);

 private:
  using Link = std::pair<std::string, std::string>;
  using Delivery = std::function<void()>;

  struct Pending {
    Pending(boost::asio::any_io_executor where, std::string target)
        : executor(where),
          timer(where, TimePoint::max()),
          target(std::move(target)) {}

    /// Runs on the requester's executor; the first outcome counts.
    void complete(Result<std::string> outcome);

    boost::asio::any_io_executor executor;
    boost::asio::steady_timer timer;
    std::string target;
    std::optional<Result<std::string>> result;
  };
  using PendingPointer = std::shared_ptr<Pending>;
  /// What the server's side and the links hold. The requester alone owns its
  /// request: the timer belongs to the requester's loop, and would be destroyed
  /// after that loop if another member's loop held it to the end.
  using PendingReference = std::weak_ptr<Pending>;

  class Network : public peer::PeerNetwork {
   public:
    Network(FakePeerCluster& cluster,
            Incarnation self,
            boost::asio::any_io_executor where)
        : cluster(cluster), own(std::move(self)), executor(std::move(where)) {}

    const Incarnation& self() const noexcept override { return this->own; }
    bool notify(const std::string& member,
                peer::MessageKind kind,
                std::string payload) override {
      return this->cluster.send(*this, member, kind, std::move(payload));
    }
    Task<Result<std::string>> request(std::string member,
                                      peer::MessageKind kind,
                                      std::string payload,
                                      TimePoint deadline) override;
    void on_notify(peer::MessageKind kind, NotifyHandler handler) override {
      this->notify_handlers[kind] = std::move(handler);
    }
    void on_request(peer::MessageKind kind, RequestHandler handler) override {
      this->request_handlers[kind] = std::move(handler);
    }
    void on_lost(LostHandler handler) override {
      this->lost_handlers.push_back(std::move(handler));
    }

   private:
    friend class FakePeerCluster;

    FakePeerCluster& cluster;
    Incarnation own;
    boost::asio::any_io_executor executor;
    std::map<peer::MessageKind, NotifyHandler> notify_handlers;
    std::map<peer::MessageKind, RequestHandler> request_handlers;
    std::vector<LostHandler> lost_handlers;
    // Under the cluster's mutex.
    std::set<PendingReference, std::owner_less<PendingReference>> pending;
  };
  using NetworkPointer = std::shared_ptr<Network>;

  bool send(Network& from,
            const std::string& to,
            peer::MessageKind kind,
            std::string payload);
  PendingPointer begin(Network& from,
                       const std::string& to,
                       peer::MessageKind kind,
                       std::string payload,
                       boost::asio::any_io_executor caller);
  static Task<void> serve(FakePeerCluster* cluster,
                          NetworkPointer server,
                          Incarnation from,
                          peer::MessageKind kind,
                          std::string payload,
                          PendingReference pending);
  void answer(const std::string& server,
              const std::string& client,
              const PendingReference& pending,
              Result<std::string> outcome);
  // The three below need the mutex.
  void carry(const Link& link, Delivery delivery);
  NetworkPointer reachable(const std::string& from, const std::string& to);
  void tell_lost(const std::string& listener, const std::string& gone);
  static void complete_later(const PendingReference& pending,
                             Result<std::string> outcome);

  std::mutex mutex;
  std::map<std::string, NetworkPointer> members;
  std::vector<NetworkPointer> retired;  // References handed out stay valid.
  std::set<Link> broken;
  std::set<Link> holding;
  std::map<Link, std::deque<Delivery>> waiting;
  std::map<peer::MessageKind, std::size_t> counts;
};

}  // namespace ibismux::tests

#endif  // TESTS_SUPPORT_FAKE_PEER_NETWORK_H_
