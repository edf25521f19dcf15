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
#include "ibismux/quarantine/crash_watch.h"
#include "ibismux/quarantine/request_digest.h"
#include "ibismux/routing/route.h"
#include "ibismux/routing/route_table.h"

namespace ibismux::dispatch {

/// What all parts of one request share.
struct RequestContext {
  CallerRequest request;
  quarantine::RequestDigest digest;  ///< Of `request`.
  std::shared_ptr<quarantine::CrashWatch> crashes;
  /// Pinned from arrival to answer; owns `route`.
  std::shared_ptr<const routing::RouteTable> table;
  const routing::Route* route = nullptr;
  /// Zones that the request may be sent to. Absent: all of them.
  std::optional<ZoneNames> allowed_zones;
  /// Leafs of each shard that a peer may have sent the request to.
  std::uint32_t attempts_elsewhere = 0;
  /// Set where the request is gathered for a peer, which counts it among its
  /// own.
  std::shared_ptr<const Confirmation> confirmation;
  /// The last moment for an answer: the caller's own, or the route's.
  TimePoint final_at;
  /// When the answer should go out to be within the route's objective.
  TimePoint due;
  std::shared_ptr<TypicalLatency> typical;  ///< Of the route's leaf calls.
  eventlog::EventLog* log = nullptr;
  DispatchMetrics* metrics = nullptr;
  const DispatchPolicy* policy = nullptr;

  /// The same for a choice of leafs; null: all zones.
  [[nodiscard]] const ZoneNames* zones() const noexcept {
    return this->allowed_zones ? &*this->allowed_zones : nullptr;
  }
  [[nodiscard]] bool is_for_peer() const noexcept {
    return this->confirmation != nullptr;
  }
  /// Most leafs that the request, or one shard of it, may be sent to from here.
  [[nodiscard]] std::uint32_t most_attempts() const noexcept {
    const bool is_shared = this->confirmation && !this->confirmation->given;
    const std::uint32_t elsewhere =
        this->attempts_elsewhere + (is_shared ? 1 : 0);
    const std::uint32_t all = this->route->max_attempts;
    return all > elsewhere ? all - elsewhere : 0;
  }
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_REQUEST_CONTEXT_H_
