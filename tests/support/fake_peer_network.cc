#include "tests/support/fake_peer_network.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ibismux::tests {

void FakePeerCluster::Pending::complete(Result<std::string> outcome) {
  if (!this->result) {
    this->result = std::move(outcome);
    this->timer.cancel();
  }
}

peer::PeerNetwork& FakePeerCluster::add(Incarnation self,
                                        boost::asio::any_io_executor where) {
  this->crash(self.member);
  std::lock_guard lock(this->mutex);
  auto network = std::make_shared<Network>(*this, self, std::move(where));
  this->members[self.member] = network;
  this->retired.push_back(network);
  return *network;
}

void FakePeerCluster::cut(const std::string& a, const std::string& b) {
  std::lock_guard lock(this->mutex);
  this->broken.insert({a, b});
  this->broken.insert({b, a});
  this->waiting.erase({a, b});
  this->waiting.erase({b, a});
  this->tell_lost(a, b);
  this->tell_lost(b, a);
}

void FakePeerCluster::heal(const std::string& a, const std::string& b) {
  std::lock_guard lock(this->mutex);
  this->broken.erase({a, b});
  this->broken.erase({b, a});
}

void FakePeerCluster::hold(const std::string& from, const std::string& to) {
  std::lock_guard lock(this->mutex);
  this->holding.insert({from, to});
}

void FakePeerCluster::deliver_held(const std::string& from,
                                   const std::string& to) {
  std::lock_guard lock(this->mutex);
  this->holding.erase({from, to});
  for (Delivery& delivery : std::exchange(this->waiting[{from, to}], {})) {
    delivery();
  }
}

std::size_t FakePeerCluster::held(const std::string& from,
                                  const std::string& to) {
  std::lock_guard lock(this->mutex);
  return this->waiting[{from, to}].size();
}

void FakePeerCluster::crash(const std::string& member) {
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

std::size_t FakePeerCluster::sent(peer::MessageKind kind) {
  std::lock_guard lock(this->mutex);
  return this->counts[kind];
}

bool FakePeerCluster::send(Network& from,
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

FakePeerCluster::PendingPointer FakePeerCluster::begin(
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

Task<void> FakePeerCluster::serve(FakePeerCluster* cluster,
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

void FakePeerCluster::answer(const std::string& server,
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

void FakePeerCluster::carry(const Link& link, Delivery delivery) {
  if (this->holding.contains(link)) {
    this->waiting[link].push_back(std::move(delivery));
  } else {
    delivery();
  }
}

FakePeerCluster::NetworkPointer FakePeerCluster::reachable(
    const std::string& from,
    const std::string& to) {
  const auto target = this->members.find(to);
  const bool open = target != this->members.end() &&
                    this->members.contains(from) &&
                    !this->broken.contains({from, to});
  return open ? target->second : nullptr;
}

void FakePeerCluster::tell_lost(const std::string& listener,
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

void FakePeerCluster::complete_later(const PendingReference& pending,
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

Task<Result<std::string>> FakePeerCluster::Network::request(
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
