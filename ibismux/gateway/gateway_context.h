#ifndef IBISMUX_GATEWAY_GATEWAY_CONTEXT_H_
#define IBISMUX_GATEWAY_GATEWAY_CONTEXT_H_

#include <prometheus/registry.h>

#include <atomic>
#include <cstddef>

#include "ibismux/gateway/ejection_budget.h"
#include "ibismux/gateway/gateway_metrics.h"
#include "ibismux/gateway/gateway_settings.h"

namespace ibismux::gateway {

/// What all leafs of a gateway share. Coroutines of a stopped loop may outlive
/// the gateway, so it is held by counted references.
///
/// Thread safe.
struct GatewayContext {
  GatewayContext(prometheus::Registry& registry, GatewaySettings settings)
      : settings(settings),
        metrics(registry),
        ejections(settings.most_ejected) {}

  const GatewaySettings settings;
  GatewayMetrics metrics;
  EjectionBudget ejections;
  std::atomic<std::size_t> outstanding{0};  ///< Calls not yet answered.
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_GATEWAY_CONTEXT_H_
