#ifndef IBISMUX_DISPATCH_REQUEST_CONTEXT_H_
#define IBISMUX_DISPATCH_REQUEST_CONTEXT_H_

#include <cstdint>
#include <memory>

#include "ibismux/base/time.h"
#include "ibismux/dispatch/caller_request.h"
#include "ibismux/dispatch/forward.h"
#include "ibismux/dispatch/typical_latency.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/routing/route_table.h"

namespace ibismux::dispatch {

/// What all parts of one request share.
struct RequestContext {
  CallerRequest request;
  /// Pinned from arrival to answer; owns `route`.
  std::shared_ptr<const routing::RouteTable> table;
  const routing::Route* route = nullptr;
  /// Most leafs that the request, or one shard of it, is sent to.
  std::uint32_t max_attempts = 1;
  /// Gathered for a peer, which counts the request among its own.
  bool is_for_peer = false;
  /// The last moment for an answer: the caller's own, or the route's.
  TimePoint final_at;
  /// When the answer should go out to be within the route's objective.
  TimePoint due;
  std::shared_ptr<TypicalLatency> typical;  ///< Of the route's leaf calls.
  eventlog::EventLog* log = nullptr;
  DispatchMetrics* metrics = nullptr;
  const DispatchPolicy* policy = nullptr;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_REQUEST_CONTEXT_H_
