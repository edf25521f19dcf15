#ifndef IBISMUX_GATEWAY_PEER_CALLS_H_
#define IBISMUX_GATEWAY_PEER_CALLS_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "ibismux/gateway/leaf_call.h"
#include "ibismux/gateway/leaf_caller.h"
#include "ibismux/peer/forward.h"

namespace ibismux::gateway {

/// The calls that one peer has asked this daemon for, and their answers on the
/// way back. Belongs to one event loop; not thread safe, but for `loop`.
class PeerCalls : public std::enable_shared_from_this<PeerCalls> {
 public:
  /// The references outlive every call.
  PeerCalls(boost::asio::io_context& loop,
            std::string member,
            peer::PeerNetwork& peers,
            LeafCaller& local);

  /// The loop that all other methods run on. Thread safe.
  [[nodiscard]] boost::asio::io_context& loop() noexcept {
    return this->context;
  }

  /// Starts `batch`; its answers go back to the peer.
  void serve(LeafCallBatch batch);

  /// Cancels the open calls, as the peer is gone or this daemon stops.
  void cancel();

 private:
  void on_answer(LeafAnswer answer);
  void flush();

  boost::asio::io_context& context;
  std::string member;
  peer::PeerNetwork& peers;
  LeafCaller& local;
  std::unordered_set<CallId> open;
  std::vector<LeafAnswer> ready;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_PEER_CALLS_H_
