#ifndef IBISMUX_GATEWAY_LEAF_CALLER_H_
#define IBISMUX_GATEWAY_LEAF_CALLER_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/gateway/leaf_call.h"

namespace ibismux::gateway {

/// Carries calls to leafs, wherever their gateways are.
///
/// All methods are thread safe.
class LeafCaller {
 public:
  using Sink = std::function<void(LeafAnswer)>;

  virtual ~LeafCaller() = default;

  /// Starts every call of the batch. `sink` runs on `executor`, never inside
  /// `call()`, exactly once an item: at the latest when the deadline passes or
  /// soon after a cancel.
  virtual void call(LeafCallBatch batch,
                    boost::asio::any_io_executor executor,
                    Sink sink) = 0;

  /// The results are no longer wanted. Calls that are still queued are dropped
  /// (kCancelled, kNotRun); those that a leaf runs get its cancel call. A
  /// reservation that has been written to a leaf is not cancelled.
  virtual void cancel(std::vector<CallId> calls) = 0;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_LEAF_CALLER_H_
