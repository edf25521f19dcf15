#ifndef IBISMUX_GATHER_GATHER_CLIENT_H_
#define IBISMUX_GATHER_GATHER_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "ibismux/base/ids.h"
#include "ibismux/dispatch/query_delegate.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/gather/forward.h"
#include "ibismux/gather/gatherer_selector.h"
#include "ibismux/gather/messages.h"
#include "ibismux/gather/overflow_asks.h"
#include "ibismux/http/cancel_reason.h"
#include "ibismux/http/socket.h"
#include "ibismux/peer/peer_network.h"

namespace ibismux::gather {

/// Delegates this daemon's queries to peers that offer to gather them.
///
/// A peer reports at once that it has taken a query (kGatherTaken), and this
/// daemon acknowledges the report (kGatherConfirm). If no report arrives in
/// time, this daemon gathers the query itself, because waiting for the answer
/// of an unreachable peer would use up the caller's deadline. The peer may have
/// taken the query nevertheless. Without the acknowledgement it makes one
/// attempt at each shard, and this daemon makes the remaining attempts that the
/// route allows. A query whose kGatherTaken has arrived is not gathered a
/// second time; if its answer is lost, the caller gets an error that says that
/// the outcome is unknown.
///
/// Belongs to one event loop, which is also the network's; not thread safe.
class GatherClient : public dispatch::QueryDelegate,
                     public std::enable_shared_from_this<GatherClient> {
 public:
  /// Precondition: the network has not started. All references outlive this
  /// object. @param seed Differs between daemons.
  GatherClient(boost::asio::io_context& loop,
               peer::PeerNetwork& network,
               eventlog::EventLog& log,
               std::uint64_t seed);

  /// Registers the message handlers. Call once, before the network starts.
  void start();

  /// Applies the roles that result from a membership change.
  void on_roles(const GatherRoles& roles);

  [[nodiscard]] bool is_available(const Needs& needs,
                                  TimePoint now) const override {
    return this->selector.has_candidate(needs, now);
  }
  void on_unavailable(const Needs& needs, TimePoint now) override;
  [[nodiscard]] Task<DelegationResult> run(
      Query query,
      std::shared_ptr<http::CancelToken> caller) override;

 private:
  /// A query that was sent to a peer and has no outcome yet.
  struct PendingQuery {
    explicit PendingQuery(boost::asio::io_context& loop)
        : timer(loop.get_executor()) {}

    http::Timer timer;  ///< Cancelled when a member below changes.
    bool taken = false;
    std::optional<http::CancelReason> cancelled;
    std::optional<Result<std::string>> reply;
  };

  [[nodiscard]] static Task<void> request(
      std::shared_ptr<GatherClient> self,
      std::string member,
      std::string payload,
      TimePoint deadline,
      std::shared_ptr<PendingQuery> pending);
  /// Waits until the reply arrives, the token is cancelled, or time runs out:
  /// `confirm_deadline` while the query isn't taken, `final_deadline`
  /// afterwards.
  [[nodiscard]] static Task<void> wait(std::shared_ptr<PendingQuery> pending,
                                       TimePoint confirm_deadline,
                                       TimePoint final_deadline);
  [[nodiscard]] DelegationResult finish(const std::string& member,
                                        std::uint64_t number,
                                        const Query& query,
                                        PendingQuery& pending);
  [[nodiscard]] DelegationResult read_reply(const std::string& member,
                                            const Query& query,
                                            const PendingQuery& pending);
  void on_taken(const Incarnation& from, const std::string& payload);
  void on_offer(const Incarnation& from, const std::string& payload);
  /// An offer of another zone.
  void on_spare(const Incarnation& from, const std::string& payload);
  void log_failure(std::string_view event,
                   const std::string& member,
                   const Query& query,
                   std::string_view reason);

  boost::asio::io_context& loop;
  peer::PeerNetwork& network;
  eventlog::EventLog& log;
  GathererSelector selector;
  OverflowAsks overflow;
  std::map<std::string, TimePoint> asked_at;  ///< By member of other zones.
  std::uint64_t last_number = 0;
  std::map<std::uint64_t, std::weak_ptr<PendingQuery>> pending_queries;
};

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_GATHER_CLIENT_H_
