#ifndef TESTS_SUPPORT_FAKE_PEER_NETWORK_H_
#define TESTS_SUPPORT_FAKE_PEER_NETWORK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
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

inline void FakePeerCluster::Pending::complete(Result<std::string> outcome) {
  if (!this->result) {
    this->result = std::move(outcome);
    this->timer.cancel();
  }
}

inline peer::PeerNetwork& FakePeerCluster::add(
    Incarnation self,
    boost::asio::any_io_executor where) {
  this->crash(self.member);
  std::lock_guard lock(this->mutex);
  auto network = std::make_shared<Network>(*this, self, std::move(where));
  this->members[self.member] = network;
  this->retired.push_back(network);
  return *network;
}

inline void FakePeerCluster::cut(const std::string& a, const std::string& b) {
  std::lock_guard lock(this->mutex);
  this->broken.insert({a, b});
  this->broken.insert({b, a});
  this->waiting.erase({a, b});
  this->waiting.erase({b, a});
  this->tell_lost(a, b);
  this->tell_lost(b, a);
}

inline void FakePeerCluster::heal(const std::string& a, const std::string& b) {
  std::lock_guard lock(this->mutex);
  this->broken.erase({a, b});
  this->broken.erase({b, a});
}

inline void FakePeerCluster::hold(const std::string& from,
                                  const std::string& to) {
  std::lock_guard lock(this->mutex);
  this->holding.insert({from, to});
}

inline void FakePeerCluster::deliver_held(const std::string& from,
                                          const std::string& to) {
  std::lock_guard lock(this->mutex);
  this->holding.erase({from, to});
  for (Delivery& delivery : std::exchange(this->waiting[{from, to}], {})) {
    delivery();
  }
}

inline std::size_t FakePeerCluster::held(const std::string& from,
                                         const std::string& to) {
  std::lock_guard lock(this->mutex);
  return this->waiting[{from, to}].size();
}

inline void FakePeerCluster::crash(const std::string& member) {
  std::lock_guard lock(this->mutex);
  if (!this->members.contains(member)) {
    return;
  }
  for (const auto& [name, network] : this->members) {
    if (name != member) {
      this->waiting.erase({name, member});
      this->waiting.erase({member, name});
      this->tell_lost(name, member);
    }
  }
  this->members.erase(member);
}

inline std::size_t FakePeerCluster::sent(peer::MessageKind kind) {
  std::lock_guard lock(this->mutex);
  return this->counts[kind];
}

inline bool FakePeerCluster::send(Network& from,
                                  const std::string& to,
                                  peer::MessageKind kind,
                                  std::string payload) {
  std::lock_guard lock(this->mutex);
  NetworkPointer target = this->reachable(from.own.member, to);
  if (!target) {
    return false;
  }
  ++this->counts[kind];
  auto deliver = [target, kind, sender = from.own,
                  payload = std::move(payload)] {
    boost::asio::post(target->executor, [target, kind, sender, payload] {
      const auto handler = target->notify_handlers.find(kind);
      if (handler != target->notify_handlers.end()) {
        handler->second(sender, payload);
      }
    });
  };
  this->carry({from.own.member, to}, std::move(deliver));
  return true;
}

inline FakePeerCluster::PendingPointer FakePeerCluster::begin(
    Network& from,
    const std::string& to,
    peer::MessageKind kind,
    std::string payload,
    boost::asio::any_io_executor caller) {
  std::lock_guard lock(this->mutex);
  auto pending = std::make_shared<Pending>(std::move(caller), to);
  NetworkPointer target = this->reachable(from.own.member, to);
  if (!target) {
    Error error = make_error(ErrorKind::kPeerUnavailable, "no link to " + to);
    error.execution = Execution::kNotRun;
    pending->result = tl::unexpected<Error>(std::move(error));
    return pending;
  }
  ++this->counts[kind];
  from.pending.insert(pending);
  auto deliver = [this, target, kind, pending = PendingReference(pending),
                  sender = from.own, payload = std::move(payload)] {
    // Posted, since co_spawn may run the handler at once, under the mutex.
    boost::asio::post(target->executor, [this, target, kind, pending, sender,
                                         payload] {
      boost::asio::co_spawn(target->executor,
                            serve(this, target, sender, kind, payload, pending),
                            boost::asio::detached);
    });
  };
  this->carry({from.own.member, to}, std::move(deliver));
  return pending;
}

inline Task<void> FakePeerCluster::serve(FakePeerCluster* cluster,
                                         NetworkPointer server,
                                         Incarnation from,
                                         peer::MessageKind kind,
                                         std::string payload,
                                         PendingReference pending) {
  const auto handler = server->request_handlers.find(kind);
  Result<std::string> outcome =
      fail(ErrorKind::kProtocolError, "no handler for this kind");
  if (handler != server->request_handlers.end()) {
    std::string client = from.member;
    outcome = co_await handler->second(std::move(from), std::move(payload));
    from.member = std::move(client);
  }
  cluster->answer(server->own.member, from.member, pending, std::move(outcome));
}

inline void FakePeerCluster::answer(const std::string& server,
                                    const std::string& client,
                                    const PendingReference& pending,
                                    Result<std::string> outcome) {
  std::lock_guard lock(this->mutex);
  if (!this->reachable(server, client)) {
    return;
  }
  this->carry({server, client}, [pending, outcome = std::move(outcome)] {
    complete_later(pending, outcome);
  });
}

inline void FakePeerCluster::carry(const Link& link, Delivery delivery) {
  if (this->holding.contains(link)) {
    this->waiting[link].push_back(std::move(delivery));
  } else {
    delivery();
  }
}

inline FakePeerCluster::NetworkPointer FakePeerCluster::reachable(
    const std::string& from,
    const std::string& to) {
  const auto target = this->members.find(to);
  const bool open = target != this->members.end() &&
                    this->members.contains(from) &&
                    !this->broken.contains({from, to});
  return open ? target->second : nullptr;
}

inline void FakePeerCluster::tell_lost(const std::string& listener,
                                       const std::string& gone) {
  const auto hearer = this->members.find(listener);
  const auto lost = this->members.find(gone);
  if (hearer == this->members.end() || lost == this->members.end()) {
    return;
  }
  NetworkPointer network = hearer->second;
  std::erase_if(network->pending, [&gone](const PendingReference& reference) {
    const PendingPointer pending = reference.lock();
    if (pending && pending->target != gone) {
      return false;
    }
    complete_later(reference,
                   fail(ErrorKind::kPeerUnavailable, "connection lost"));
    return true;
  });
  boost::asio::post(network->executor, [network, from = lost->second->own] {
    for (const auto& handler : network->lost_handlers) {
      handler(from);
    }
  });
}

inline void FakePeerCluster::complete_later(const PendingReference& pending,
                                            Result<std::string> outcome) {
  const PendingPointer live = pending.lock();
  if (!live) {
    return;
  }
  boost::asio::post(live->executor, [pending, outcome = std::move(outcome)] {
    if (const PendingPointer waiting = pending.lock()) {
      waiting->complete(outcome);
    }
  });
}

inline Task<Result<std::string>> FakePeerCluster::Network::request(
    std::string member,
    peer::MessageKind kind,
    std::string payload,
    TimePoint deadline) {
  auto caller = co_await boost::asio::this_coro::executor;
  PendingPointer pending =
      this->cluster.begin(*this, member, kind, std::move(payload), caller);
  if (!pending->result) {
    pending->timer.expires_at(deadline);
    boost::system::error_code ignored;
    co_await pending->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  {
    std::lock_guard lock(this->cluster.mutex);
    this->pending.erase(pending);
  }
  if (!pending->result) {
    pending->result =
        fail(ErrorKind::kDeadlineExceeded, "no response from " + member);
  }
  co_return std::move(*pending->result);
}

}  // namespace ibismux::tests

#endif  // TESTS_SUPPORT_FAKE_PEER_NETWORK_H_
