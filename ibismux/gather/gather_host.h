#ifndef IBISMUX_GATHER_GATHER_HOST_H_
#define IBISMUX_GATHER_GATHER_HOST_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "ibismux/base/ids.h"
#include "ibismux/base/task.h"
#include "ibismux/dispatch/query_gatherer.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/gather/gather_roles.h"
#include "ibismux/gather/messages.h"
#include "ibismux/http/forward.h"
#include "ibismux/http/socket.h"
#include "ibismux/peer/peer_network.h"

namespace ibismux::gather {

/// Offers the weaker daemons of the zone to gather their queries, and does.
///
/// A query is taken only on an offer made a moment ago: frames that a cut of
/// the network held up arrive when it heals, for callers that have long gone.
///
/// Belongs to one event loop, which is also the network's; not thread safe.
class GatherHost : public std::enable_shared_from_this<GatherHost> {
 public:
  /// Precondition: the network has not started. All outlive this.
  GatherHost(boost::asio::io_context& loop,
             peer::PeerNetwork& network,
             dispatch::QueryGatherer& gatherer,
             eventlog::EventLog& log);

  /// Registers the handlers and begins. Called once, before the network starts.
  void start();

  /// The members have changed.
  void on_roles(GatherRoles roles);

  /// Takes no further queries, and withdraws its offers; those under way go on.
  void drain();

  /// Queries under way.
  [[nodiscard]] std::size_t in_flight() const noexcept {
    return this->running.size();
  }

 private:
  /// A query: whose it is, and its number there.
  using Key = std::pair<std::string, std::uint64_t>;

  struct Running {
    std::shared_ptr<dispatch::Confirmation> confirmation;
    std::shared_ptr<http::CancelToken> cancelled;
  };

  void tick();
  void send_offers(std::size_t room);
  [[nodiscard]] static Task<Result<std::string>> serve(
      std::shared_ptr<GatherHost> self,
      Incarnation from,
      std::string payload);
  /// Why a query isn't taken; nothing where it is.
  [[nodiscard]] std::optional<std::string> refusal(const GatherQuery& query,
                                                   const Key& key,
                                                   TimePoint now) const;
  [[nodiscard]] bool is_recent(std::uint64_t offer, TimePoint now) const;
  void on_confirm(const Incarnation& from, const std::string& payload);
  void on_cancel(const Incarnation& from, const std::string& payload);
  void on_lost(const std::string& member);

  boost::asio::io_context& loop;
  peer::PeerNetwork& network;
  dispatch::QueryGatherer& gatherer;
  eventlog::EventLog& log;
  http::Timer timer;
  GatherRoles roles;
  bool draining = false;
  std::uint64_t sequence = 0;
  /// When the last offers were made, the newest last.
  std::deque<std::pair<std::uint64_t, TimePoint>> offers;
  std::map<Key, Running> running;
  std::deque<Key> cancelled_early;  ///< Before the query itself was read.
};

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_GATHER_HOST_H_
