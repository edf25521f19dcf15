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
#include "ibismux/http/cancel_reason.h"
#include "ibismux/http/forward.h"
#include "ibismux/http/socket.h"
#include "ibismux/peer/peer_network.h"

namespace ibismux::gather {

/// Gathers queries for the daemons of the zone that have narrower network
/// links, and sends them offers to do so. Daemons of other zones get an offer
/// when they ask, as long as `GatherRoom` leaves some for them.
///
/// A query is taken only if it refers to a recent offer. Frames that a network
/// partition has delayed arrive when it heals, when their callers have already
/// given up.
///
/// Belongs to one event loop, which is also the network's; not thread safe.
class GatherHost : public std::enable_shared_from_this<GatherHost> {
 public:
  /// Precondition: the network has not started. All references outlive this
  /// object. @param serves_other_zones Whether daemons of other zones get
  /// offers.
  GatherHost(boost::asio::io_context& loop,
             peer::PeerNetwork& network,
             dispatch::QueryGatherer& gatherer,
             eventlog::EventLog& log,
             bool serves_other_zones);

  /// Registers the message handlers and starts sending offers. Call once,
  /// before the network starts.
  void start();

  /// Applies the roles that result from a membership change.
  void on_roles(GatherRoles roles);

  /// Refuses new queries and withdraws the offers; queries in progress
  /// continue.
  void drain();

  /// Ends all queries now, with what they have.
  void cancel_queries();

  /// Number of queries in progress.
  [[nodiscard]] std::size_t in_flight() const noexcept {
    return this->running.size();
  }

 private:
  /// Identifies a query: the member that sent it, and that member's query
  /// number.
  using Key = std::pair<std::string, std::uint64_t>;

  struct SentOffer {
    std::uint64_t number = 0;
    TimePoint at;
    bool is_distant = false;  ///< Made to a daemon of another zone.
  };

  struct Running {
    std::shared_ptr<dispatch::Confirmation> confirmation;
    std::shared_ptr<http::CancelToken> cancelled;
  };

  void tick();
  void send_offers(std::size_t room);
  /// Registers an offer. @return Its payload.
  [[nodiscard]] std::string make_offer(std::size_t room, bool is_distant);
  void on_wanted(const Incarnation& from, const std::string& payload);
  [[nodiscard]] static Task<Result<std::string>> serve(
      std::shared_ptr<GatherHost> self,
      Incarnation from,
      std::string payload);
  /// Why a query is refused, or nothing if it is taken.
  [[nodiscard]] std::optional<std::string>
  refusal_reason(const GatherQuery& query, const Key& key, TimePoint now) const;
  /// The offer with this number, or null if it is not recent.
  [[nodiscard]] const SentOffer* recent_offer(std::uint64_t number,
                                              TimePoint now) const;
  void on_confirm(const Incarnation& from, const std::string& payload);
  void on_cancel(const Incarnation& from, const std::string& payload);
  void on_lost(const std::string& member);
  /// Cancels the queries in progress whose key meets `condition`.
  template <class Condition>
  void cancel_if(Condition condition, http::CancelReason reason);

  boost::asio::io_context& loop;
  peer::PeerNetwork& network;
  dispatch::QueryGatherer& gatherer;
  eventlog::EventLog& log;
  const bool serves_other_zones;
  http::Timer timer;
  GatherRoles roles;
  bool draining = false;
  std::uint64_t sequence = 0;
  std::deque<SentOffer> offers;  ///< The recent ones, the newest last.
  std::map<Key, Running> running;
  std::deque<Key> cancelled_early;  ///< Cancelled before the query was read.
};

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_GATHER_HOST_H_
