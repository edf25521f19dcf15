#include "ibismux/peer/peer_dialer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "ibismux/peer/peer_connection.h"
#include "ibismux/peer/peer_context.h"
#include "ibismux/peer/socket_options.h"

namespace ibismux::peer {

namespace {

using Tcp = boost::asio::ip::tcp;
using Socket = std::shared_ptr<Tcp::socket>;

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Connects and exchanges hellos.
Task<Result<Introduction>> greet(Socket socket,
                                 PeerEndpoint where,
                                 Introduction ours) {
  boost::system::error_code invalid;
  const auto address = boost::asio::ip::make_address(where.address, invalid);
  const Tcp::endpoint endpoint(address, where.port);
  const auto [error] = co_await socket->async_connect(endpoint, kAwait);
  if (error) {
    co_return fail(ErrorKind::kPeerUnavailable, error.message());
  }
  set_peer_options(*socket);
  const Result<void> sent =
      co_await send_introduction(*socket, std::move(ours));
  if (!sent) {
    co_return tl::unexpected<Error>(sent.error());
  }
  co_return co_await read_introduction(*socket);
}

/// Why the one that answers is not to be used; empty if it is.
std::string objection(const std::string& member,
                      const Introduction& ours,
                      const Introduction& theirs) {
  if (!theirs.refusal.empty()) {
    return "refused by the peer: " + theirs.refusal;
  }
  std::string refusal = reason_to_refuse(ours, theirs);
  if (refusal.empty() && theirs.self.member != member &&
      !parse_endpoint(member)) {
    refusal = "another member, " + theirs.self.member + ", answers there";
  }
  return refusal;
}

}  // namespace

Task<Result<std::shared_ptr<PeerConnection>>> dial_peer(
    std::string member,
    boost::asio::io_context& loop,
    std::shared_ptr<PeerContext> context) {
  auto where = context->address_of(member);
  if (!where) {
    co_return fail(ErrorKind::kPeerUnavailable, "no address");
  }
  auto socket = std::make_shared<Tcp::socket>(loop);
  boost::asio::steady_timer timer(loop);
  timer.expires_after(context->settings.connect_timeout);
  timer.async_wait([socket](boost::system::error_code cancelled) {
    if (!cancelled) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  const Introduction ours = context->introduction();
  const Result<Introduction> theirs = co_await greet(socket, *where, ours);
  timer.cancel();
  if (!theirs) {
    co_return tl::unexpected<Error>(theirs.error());
  }
  const std::string refusal = objection(member, ours, *theirs);
  if (!refusal.empty()) {
    context->note_refusal(member, refusal);
    co_return fail(ErrorKind::kPeerUnavailable, refusal);
  }
  co_return std::make_shared<PeerConnection>(
      std::move(*socket), theirs->self, true,
      context->settings.most_queued_bytes, context->metrics);
}

}  // namespace ibismux::peer
