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
#include "ibismux/gather/gatherer_choice.h"
#include "ibismux/gather/messages.h"
#include "ibismux/http/socket.h"
#include "ibismux/peer/peer_network.h"

namespace ibismux::gather {

/// Hands this daemon's queries over to peers that offer to gather them.
///
/// A peer tells at once that it has taken a query, and learns in turn that this
/// daemon knows. Where it hears nothing, the query is gathered here: waiting
/// for its answer would cost the caller its whole deadline if the peer was cut
/// off. The peer may have taken it all the same; without that confirmation it
/// makes one attempt at each shard, and this daemon the others that the route
/// allows. A query that was confirmed is not gathered a second time; if its
/// answer is lost the caller is told that the outcome is unknown.
///
/// Belongs to one event loop, which is also the network's; not thread safe.
class GatherClient : public dispatch::QueryDelegate,
                     public std::enable_shared_from_this<GatherClient> {
 public:
  /// Precondition: the network has not started. All outlive this.
  GatherClient(boost::asio::io_context& loop,
               peer::PeerNetwork& network,
               eventlog::EventLog& log);

  /// Registers the handlers. Called once, before the network starts.
  void start();

  [[nodiscard]] bool is_available(TimePoint now) const override {
    return this->choice.has_choice(now);
  }
  [[nodiscard]] Task<DelegationResult> run(
      Query query,
      std::shared_ptr<http::CancelToken> caller) override;

 private:
  /// A query at a peer.
  struct Handover {
    explicit Handover(boost::asio::io_context& loop)
        : wake(loop.get_executor()) {}

    http::Timer wake;  ///< Cancelled when something below has changed.
    bool taken = false;
    bool caller_gone = false;
    std::optional<Result<std::string>> reply;
  };

  [[nodiscard]] static Task<void> request(std::shared_ptr<GatherClient> self,
                                          std::string member,
                                          std::string payload,
                                          TimePoint deadline,
                                          std::shared_ptr<Handover> handover);
  /// Waits for the reply, the end of the caller's interest, or the time by
  /// which the peer should have confirmed.
  [[nodiscard]] static Task<void> wait(std::shared_ptr<Handover> handover,
                                       TimePoint taken_by,
                                       TimePoint final_deadline);
  [[nodiscard]] DelegationResult settle(const std::string& member,
                                        std::uint64_t number,
                                        const Query& query,
                                        Handover& handover);
  [[nodiscard]] DelegationResult read(const std::string& member,
                                      const Query& query,
                                      const Handover& handover);
  void on_taken(const Incarnation& from, const std::string& payload);
  void on_offer(const Incarnation& from, const std::string& payload);
  void note(std::string_view event,
            const std::string& member,
            const Query& query,
            std::string_view reason);

  boost::asio::io_context& loop;
  peer::PeerNetwork& network;
  eventlog::EventLog& log;
  GathererChoice choice;
  std::uint64_t last_number = 0;
  std::map<std::uint64_t, std::weak_ptr<Handover>> handovers;
};

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_GATHER_CLIENT_H_
