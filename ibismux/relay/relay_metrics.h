#ifndef IBISMUX_RELAY_RELAY_METRICS_H_
#define IBISMUX_RELAY_RELAY_METRICS_H_

#include <cstdint>

namespace prometheus {
class Counter;
class Gauge;
class Registry;
}  // namespace prometheus

namespace ibismux::relay {

/// Metrics of the distribution of releases. Thread safe.
struct RelayMetrics {
  /// Precondition: `registry` outlives this object.
  explicit RelayMetrics(prometheus::Registry& registry);

  prometheus::Gauge* generation;
  prometheus::Counter* from_peers;
  prometheus::Counter* from_platform;
  prometheus::Counter* pushes;
  prometheus::Counter* fetches;
  prometheus::Counter* self_help_reads;
  prometheus::Counter* rejected;
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_RELAY_METRICS_H_
