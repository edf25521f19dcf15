#ifndef IBISMUX_GATEWAY_CALL_GROUP_H_
#define IBISMUX_GATEWAY_CALL_GROUP_H_

#include <boost/asio/any_io_executor.hpp>

#include "ibismux/gateway/leaf_call.h"
#include "ibismux/gateway/leaf_caller.h"

namespace ibismux::gateway {

struct GatewayContext;

/// What the calls of one batch share, and where their answers go.
///
/// Thread safe: it does not change.
class CallGroup {
 public:
  /// @param batch Its items are not used.
  /// @param context Its `outstanding` falls by one with each answer.
  CallGroup(LeafCallBatch batch,
            boost::asio::any_io_executor executor,
            LeafCaller::Sink sink,
            std::shared_ptr<GatewayContext> context = nullptr);

  [[nodiscard]] const LeafCallBatch& batch() const noexcept {
    return this->shared;
  }

  /// Hands `answer` to the sink, on its executor. Precondition: once a call.
  void answer(LeafAnswer answer) const;

  /// The same for a call of which no byte was sent to a leaf.
  void refuse(const CallId& id, Error error, Duration queue_time = {}) const;

 private:
  LeafCallBatch shared;
  boost::asio::any_io_executor executor;
  LeafCaller::Sink sink;
  std::shared_ptr<GatewayContext> context;
};

/// An error that promises that the call was not run. Thread safe.
[[nodiscard]] Error not_run(ErrorKind kind, std::string message);

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_CALL_GROUP_H_
