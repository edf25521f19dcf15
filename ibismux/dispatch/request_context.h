#ifndef IBISMUX_DISPATCH_REQUEST_CONTEXT_H_
#define IBISMUX_DISPATCH_REQUEST_CONTEXT_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "ibismux/base/time.h"
#include "ibismux/base/zone_sizes.h"
#include "ibismux/dispatch/caller_request.h"
#include "ibismux/dispatch/forward.h"
#include "ibismux/dispatch/query_gatherer.h"
#include "ibismux/dispatch/typical_latency.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/fairness/share.h"
#include "ibismux/quarantine/crash_watch.h"
#include "ibismux/quarantine/request_digest.h"
#include "ibismux/routing/route.h"
#include "ibismux/routing/route_table.h"

namespace ibismux::dispatch {

/// The state that all parts of one request share.
struct RequestContext {
  CallerRequest request;
  quarantine::RequestDigest digest;  ///< Of `request`.
  std::shared_ptr<quarantine::CrashWatch> crashes;
  /// The route table in force when the request arrived, kept until it is
  /// answered; owns `route`.
  std::shared_ptr<const routing::RouteTable> table;
  const routing::Route* route = nullptr;
  /// Of the customer, or else of the route; 0 is the most urgent.
  std::uint32_t priority = 0;
  /// The customer's claim among the requests of this priority.
  fairness::Share share;
  /// Zones that the request may be sent to; all zones if absent.
  std::optional<ZoneNames> allowed_zones;
  /// The number of leafs of each shard to which a peer may have sent the
  /// request.
  std::uint32_t peer_attempts = 0;
  /// Set if the request is gathered for a peer; the peer then counts it in its
  /// own metrics.
  std::shared_ptr<const Confirmation> confirmation;
  /// The deadline for any answer: the earlier one of the caller's deadline and
  /// the route's time limit.
  TimePoint final_deadline;
  /// When the answer should be sent to arrive within the route's objective.
  TimePoint due;
  std::shared_ptr<TypicalLatency> typical;  ///< Of the route's leaf calls.
  /// Of the route's requests on this daemon, from sending their calls.
  std::shared_ptr<TypicalLatency> typical_run;
  eventlog::EventLog* log = nullptr;
  DispatchMetrics* metrics = nullptr;
  const DispatchPolicy* policy = nullptr;

  /// The allowed zones as used to select leafs; null means all zones.
  [[nodiscard]] const ZoneNames* zones() const noexcept {
    return this->allowed_zones ? &*this->allowed_zones : nullptr;
  }
  [[nodiscard]] bool is_for_peer() const noexcept {
    return this->confirmation != nullptr;
  }
  /// The maximum number of leafs to which this daemon may send the request or
  /// one shard of it.
  [[nodiscard]] std::uint32_t attempt_limit() const noexcept {
    const bool is_unconfirmed =
        this->confirmation && !this->confirmation->given;
    const std::uint32_t by_peer =
        this->peer_attempts + (is_unconfirmed ? 1 : 0);
    const std::uint32_t allowed = this->route->max_attempts;
    return allowed > by_peer ? allowed - by_peer : 0;
  }
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_REQUEST_CONTEXT_H_
