#ifndef IBISMUX_PEER_PEER_NETWORK_H_
#define IBISMUX_PEER_PEER_NETWORK_H_

#include <functional>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/ids.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"

namespace ibismux::peer {

/// What a frame between daemons carries. The numbers are part of the protocol.
enum class MessageKind : unsigned char {
  // One-way.
  kLeafCalls = 1,    ///< Entry to gateway.
  kLeafAnswers = 2,  ///< Gateway to entry.
  kLeafCancels = 3,  ///< Entry to gateway.
  kGossip = 4,       ///< Membership changes.
  kReleasePush = 5,  ///< A new head, down the tree.
  kFeedPush =
      6,  ///< Updates from the platform's store, and how fresh they are.
  kLeafReports = 7,  ///< How leafs fare, up to the zone's hub and down again.
  kGatherOffer = 8,  ///< To gather the receiver's queries.
  kGatherTaken = 9,  ///< A query has come, and is being gathered.
  kGatherConfirm = 11,  ///< The sender knows that its query was taken.
  kGatherCancel = 10,   ///< Nobody waits for a query any more.
  kGatherWanted = 12,   ///< The sender asks another zone for kGatherSpare.
  kGatherSpare = 13,    ///< An offer to a daemon of another zone.
  // Request and response.
  kProbe = 16,
  kIndirectProbe = 17,
  kReleaseFetch = 18,  ///< "What is newer than generation G?"
  kClaim = 19,         ///< Reservation key, to the bucket's owner.
  kRecord = 20,        ///< Reservation outcome, to the bucket's owner.
  kAskKey = 21,
  kTicketRun = 22,
  kInForce = 23,      ///< Tallies of a subtree by generation.
  kFeedPull = 24,     ///< "What is newer in the store than this?"
  kGatherQuery = 25,  ///< A caller's query, to be gathered by the receiver.
  kRateRequest = 26,  ///< "May this customer send one more request?"
};

/// Typed frames between this daemon and its peers.
///
/// `member` always names a member of the current membership view. Handlers run
/// on an event loop of the pool and must not block. All methods are thread
/// safe.
class PeerNetwork {
 public:
  using NotifyHandler =
      std::function<void(const Incarnation& from, std::string payload)>;
  using RequestHandler =
      std::function<Task<Result<std::string>>(Incarnation from,
                                              std::string payload)>;
  /// Runs when the last connection to a peer breaks. `from` is the incarnation
  /// that was reached; what was sent to it may or may not have arrived.
  using LostHandler = std::function<void(const Incarnation& from)>;

  virtual ~PeerNetwork() = default;

  /// This run of this daemon.
  [[nodiscard]] virtual const Incarnation& self() const noexcept = 0;

  /// @name Sending
  /// @{

  /// Queues a one-way frame. @return False where it certainly was not sent:
  /// no connection and none could be opened lately, or the queue is full.
  virtual bool notify(const std::string& member,
                      MessageKind kind,
                      std::string payload) = 0;

  /// Sends a request and waits for its response. kPeerUnavailable says
  /// `Execution::kNotRun` only where the frame was never handed to a socket.
  [[nodiscard]] virtual Task<Result<std::string>> request(
      std::string member,
      MessageKind kind,
      std::string payload,
      TimePoint deadline) = 0;
  /// @}

  /// @name Receiving; set once, before the network starts
  /// @{
  virtual void on_notify(MessageKind kind, NotifyHandler handler) = 0;
  virtual void on_request(MessageKind kind, RequestHandler handler) = 0;
  virtual void on_lost(LostHandler handler) = 0;
  /// @}
};

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_PEER_NETWORK_H_
