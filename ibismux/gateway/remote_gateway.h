#ifndef IBISMUX_GATEWAY_REMOTE_GATEWAY_H_
#define IBISMUX_GATEWAY_REMOTE_GATEWAY_H_

#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <vector>

#include "ibismux/base/forward.h"
#include "ibismux/gateway/leaf_caller.h"
#include "ibismux/peer/forward.h"

namespace ibismux::gateway {

/// Calls to leafs through other daemons, and the serving of their calls here.
///
/// All methods are thread safe.
class RemoteGateway {
 public:
  /// Registers its peer handlers: construct it before the network starts.
  /// @param local Serves what peers send. All references outlive the gateway.
  RemoteGateway(IoPool& pool,
                peer::PeerNetwork& peers,
                LeafCaller& local,
                prometheus::Registry& metrics);
  ~RemoteGateway();

  /// Sends every call of `batch` to `member` in one frame.
  /// @return False where it certainly was not sent; `sink` is not called then.
  /// Otherwise as for `LeafCaller::call`. When the member is lost, its calls
  /// fail at once: kPeerUnavailable, reservations kOutcomeUnknown.
  [[nodiscard]] bool call(const std::string& member,
                          const LeafCallBatch& batch,
                          boost::asio::any_io_executor executor,
                          LeafCaller::Sink sink);

  /// As `LeafCaller::cancel`; calls that are not of this gateway are ignored.
  void cancel(const std::vector<CallId>& calls);

  /// For a planned stop: ends the queries that peers have asked for and that
  /// have no answer yet. Their answers, kCancelled, let peers send them
  /// elsewhere. Reservations that leafs run go on. Thread safe.
  void cancel_served();

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_REMOTE_GATEWAY_H_
