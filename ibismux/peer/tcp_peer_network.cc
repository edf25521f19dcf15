#include "ibismux/peer/tcp_peer_network.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ibismux/base/io_pool.h"
#include "ibismux/peer/peer_context.h"
#include "ibismux/peer/peer_link.h"
#include "ibismux/peer/socket_options.h"

namespace ibismux::peer {

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
/// How often idle links are looked for, as a part of the idle timeout.
constexpr int kSweepsPerTimeout = 4;

Incarnation fresh_incarnation(std::string member) {
  std::random_device source;
  std::uint64_t number = 0;
  while (number == 0) {
    number = (static_cast<std::uint64_t>(source()) << 32) | source();
  }
  return {std::move(member), number};
}

}  // namespace

class TcpPeerNetwork::Impl
    : public std::enable_shared_from_this<TcpPeerNetwork::Impl> {
 public:
  using Links = std::unordered_map<std::string, std::shared_ptr<PeerLink>>;

  Impl(IoPool& pool, std::shared_ptr<PeerContext> context)
      : pool(pool),
        context(std::move(context)),
        acceptor(pool.at(0)),
        sweep_timer(pool.at(0)),
        links(std::make_shared<const Links>()) {}

  Result<std::uint16_t> listen();
  void start();
  std::shared_ptr<PeerLink> link(const std::string& member);
  /// Stops accepting, and ends each link.
  void end(void (PeerLink::*how)());

  IoPool& pool;
  std::shared_ptr<PeerContext> context;

 private:
  static Task<void> accept(std::shared_ptr<Impl> self);
  static Task<void> greet(std::shared_ptr<Impl> self,
                          std::shared_ptr<Tcp::socket> socket);
  static Task<void> sweep(std::shared_ptr<Impl> self);
  void hand_over(Tcp::socket socket, const Incarnation& peer);
  void drop_unused();
  void for_each_link(void (*action)(PeerLink&));

  Tcp::acceptor acceptor;
  boost::asio::steady_timer sweep_timer;
  std::mutex writers;  // Of `links`.
  RcuCell<Links> links;
};

Result<std::uint16_t> TcpPeerNetwork::Impl::listen() {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(
      this->context->settings.listen_address, error);
  if (error) {
    return fail(ErrorKind::kPeerUnavailable, error.message());
  }
  const Tcp::endpoint endpoint(address, this->context->settings.port);
  this->acceptor.open(endpoint.protocol(), error);
  if (!error) {
    this->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(endpoint, error);
  }
  if (!error) {
    this->acceptor.listen(Tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    return fail(ErrorKind::kPeerUnavailable,
                "can't listen for peers: " + error.message());
  }
  return this->acceptor.local_endpoint().port();
}

void TcpPeerNetwork::Impl::start() {
  boost::asio::co_spawn(this->pool.at(0), accept(this->shared_from_this()),
                        boost::asio::detached);
  boost::asio::co_spawn(this->pool.at(0), sweep(this->shared_from_this()),
                        boost::asio::detached);
}

Task<void> TcpPeerNetwork::Impl::accept(std::shared_ptr<Impl> self) {
  while (self->acceptor.is_open()) {
    auto [error, accepted] = co_await self->acceptor.async_accept(kAwait);
    if (!error) {
      auto socket = std::make_shared<Tcp::socket>(std::move(accepted));
      boost::asio::co_spawn(self->pool.at(0), greet(self, std::move(socket)),
                            boost::asio::detached);
    } else if (error != boost::asio::error::operation_aborted) {
      // Out of descriptors, most likely: the loop would spin without a pause.
      boost::asio::steady_timer pause(self->pool.at(0),
                                      std::chrono::milliseconds(100));
      const auto [cancelled] = co_await pause.async_wait(kAwait);
      static_cast<void>(cancelled);
    }
  }
}

/// The acceptor's side of the handshake.
Task<void> TcpPeerNetwork::Impl::greet(std::shared_ptr<Impl> self,
                                       std::shared_ptr<Tcp::socket> socket) {
  // A client that connects and says nothing would hold the descriptor.
  boost::asio::steady_timer timer(self->pool.at(0));
  timer.expires_after(self->context->settings.connect_timeout);
  timer.async_wait([socket](boost::system::error_code cancelled) {
    if (!cancelled) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  boost::system::error_code unknown;
  const std::string from =
      socket->remote_endpoint(unknown).address().to_string();
  const Result<Introduction> theirs = co_await read_introduction(*socket);
  if (!theirs) {
    self->context->note_refusal(from, theirs.error().message);
    co_return;
  }
  Introduction ours = self->context->introduction();
  ours.refusal = reason_to_refuse(ours, *theirs);
  const std::string refusal = ours.refusal;
  const Result<void> sent =
      co_await send_introduction(*socket, std::move(ours));
  timer.cancel();
  if (!refusal.empty()) {
    self->context->note_refusal(theirs->self.member + "@" + from, refusal);
    co_return;
  }
  if (sent) {
    self->hand_over(std::move(*socket), theirs->self);
  }
}

/// Moves a greeted socket to the loop of its member's link.
void TcpPeerNetwork::Impl::hand_over(Tcp::socket socket,
                                     const Incarnation& peer) {
  set_peer_options(socket);
  boost::system::error_code error;
  const auto protocol = socket.local_endpoint(error).protocol();
  if (error) {
    return;
  }
  const auto descriptor = socket.release(error);
  if (error) {
    return;
  }
  const auto link = this->link(peer.member);
  boost::asio::post(link->executor(), [link, protocol, descriptor, peer,
                                       context = this->context] {
    Tcp::socket moved(link->executor());
    boost::system::error_code failed;
    moved.assign(protocol, descriptor, failed);
    if (!failed) {
      link->adopt(std::make_shared<PeerConnection>(
          std::move(moved), peer, false, context->settings.most_queued_bytes,
          context->metrics));
    }
  });
}

std::shared_ptr<PeerLink> TcpPeerNetwork::Impl::link(
    const std::string& member) {
  const auto known = this->links.read();
  const auto found = known->find(member);
  if (found != known->end()) {
    return found->second;
  }
  std::lock_guard lock(this->writers);
  auto fresh = std::make_shared<Links>(*this->links.read());
  std::shared_ptr<PeerLink>& link = (*fresh)[member];
  if (!link) {
    const std::uint64_t hash = XXH3_64bits(member.data(), member.size());
    link =
        std::make_shared<PeerLink>(member, this->pool.at(hash), this->context);
  }
  auto result = link;
  this->links.write(std::move(fresh));
  return result;
}

Task<void> TcpPeerNetwork::Impl::sweep(std::shared_ptr<Impl> self) {
  while (self->acceptor.is_open()) {
    self->sweep_timer.expires_after(self->context->settings.idle_timeout /
                                    kSweepsPerTimeout);
    const auto [cancelled] = co_await self->sweep_timer.async_wait(kAwait);
    if (cancelled) {
      co_return;
    }
    self->for_each_link(
        [](PeerLink& link) { link.close_if_idle(Clock::now()); });
    self->drop_unused();
  }
}

/// Forgets links to members that are no longer known: with thousands of
/// replaced hosts a day they would pile up.
void TcpPeerNetwork::Impl::drop_unused() {
  std::lock_guard lock(this->writers);
  const auto known = this->links.read();
  auto kept = std::make_shared<Links>();
  for (const auto& [member, link] : *known) {
    if (!link->unused() || this->context->address_of(member)) {
      kept->emplace(member, link);
    }
  }
  if (kept->size() != known->size()) {
    this->links.write(std::move(kept));
  }
}

void TcpPeerNetwork::Impl::for_each_link(void (*action)(PeerLink&)) {
  const auto known = this->links.read();
  for (const auto& [member, link] : *known) {
    boost::asio::post(link->executor(),
                      [link = link, action] { action(*link); });
  }
}

void TcpPeerNetwork::Impl::end(void (PeerLink::*how)()) {
  boost::asio::post(this->pool.at(0), [self = this->shared_from_this()] {
    boost::system::error_code ignored;
    self->acceptor.close(ignored);
    self->sweep_timer.cancel();
  });
  const auto known = this->links.read();
  for (const auto& [member, link] : *known) {
    boost::asio::post(link->executor(),
                      [link = link, how] { ((*link).*how)(); });
  }
}

TcpPeerNetwork::TcpPeerNetwork(IoPool& pool,
                               PeerSettings settings,
                               const RcuCell<membership::MembershipView>& view,
                               prometheus::Registry& registry) {
  Incarnation self = fresh_incarnation(settings.member);
  this->impl = std::make_shared<Impl>(
      pool, std::make_shared<PeerContext>(std::move(settings), std::move(self),
                                          view, registry));
}

TcpPeerNetwork::~TcpPeerNetwork() {
  this->stop();
}

Result<std::uint16_t> TcpPeerNetwork::start() {
  Result<std::uint16_t> port = this->impl->listen();
  if (port) {
    this->impl->start();
  }
  return port;
}

void TcpPeerNetwork::say_goodbye() {
  this->impl->end(&PeerLink::say_goodbye);
}

std::size_t TcpPeerNetwork::connections() const noexcept {
  return this->impl->context->metrics.open_connections();
}

void TcpPeerNetwork::stop() {
  this->impl->end(&PeerLink::stop);
}

void TcpPeerNetwork::set_seeds(Seeds seeds) {
  this->impl->context->seeds.write(
      std::make_shared<const Seeds>(std::move(seeds)));
}

std::uint64_t TcpPeerNetwork::control_bytes() const noexcept {
  return this->impl->context->metrics.control_bytes();
}

const Incarnation& TcpPeerNetwork::self() const noexcept {
  return this->impl->context->self;
}

bool TcpPeerNetwork::notify(const std::string& member,
                            MessageKind kind,
                            std::string payload) {
  const auto number = static_cast<std::uint8_t>(kind);
  if (member != this->self().member) {
    return this->impl->link(member)->notify(number, payload);
  }
  boost::asio::post(this->impl->pool.next(),
                    [context = this->impl->context, number,
                     payload = std::move(payload)]() mutable {
                      const auto& handler = context->notify_handler(number);
                      if (handler) {
                        handler(context->self, std::move(payload));
                      }
                    });
  return true;
}

Task<Result<std::string>> TcpPeerNetwork::request(std::string member,
                                                  MessageKind kind,
                                                  std::string payload,
                                                  TimePoint deadline) {
  const auto number = static_cast<std::uint8_t>(kind);
  const auto executor = co_await boost::asio::this_coro::executor;
  if (member == this->self().member) {
    Incarnation self = this->self();
    co_return co_await this->impl->context->request_handler(number)(
        std::move(self), std::move(payload));
  }
  const auto link = this->impl->link(member);
  auto pending = std::make_shared<PendingRequest>(executor, deadline);
  const std::uint64_t correlation = link->request(number, payload, pending);
  if (correlation == 0) {
    Error error = make_error(ErrorKind::kPeerUnavailable,
                             member + ": no connection, or its queue is full");
    error.execution = Execution::kNotRun;
    co_return tl::unexpected<Error>(std::move(error));
  }
  const auto [cancelled] = co_await pending->timer.async_wait(kAwait);
  static_cast<void>(cancelled);
  link->forget(correlation);
  if (!pending->result) {
    co_return fail(ErrorKind::kDeadlineExceeded, "no response from " + member);
  }
  co_return std::move(*pending->result);
}

void TcpPeerNetwork::on_notify(MessageKind kind, NotifyHandler handler) {
  this->impl->context->notify_handlers[static_cast<std::uint8_t>(kind)] =
      std::move(handler);
}

void TcpPeerNetwork::on_request(MessageKind kind, RequestHandler handler) {
  this->impl->context->request_handlers[static_cast<std::uint8_t>(kind)] =
      std::move(handler);
}

void TcpPeerNetwork::on_lost(LostHandler handler) {
  this->impl->context->lost_handlers.push_back(std::move(handler));
}

}  // namespace ibismux::peer
