#ifndef IBISMUX_STORE_CALL_METRICS_H_
#define IBISMUX_STORE_CALL_METRICS_H_

#include <array>

#include "ibismux/base/time.h"
#include "ibismux/store/call_kind.h"
#include "ibismux/store/platform_health.h"

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
}  // namespace prometheus

namespace ibismux::store {

/// Counts and times of the calls to the platform. Thread safe.
class CallMetrics {
 public:
  /// @param registry Outlives this.
  explicit CallMetrics(prometheus::Registry& registry);

  /// One call of `kind` ended so; `took` is left out of the times where the
  /// call was not sent.
  void count(CallKind kind, CallResult result, Duration took) noexcept;

  void set_state(PlatformState state) noexcept;

  /// Watches that wait at the platform now go up or down by `change`.
  void add_waiting(int change) noexcept;

 private:
  using ByResult = std::array<prometheus::Counter*, kCallResults>;

  std::array<ByResult, kCallKinds> calls;
  std::array<prometheus::Histogram*, kCallKinds> seconds;
  prometheus::Gauge* state;
  prometheus::Gauge* waiting;
};

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_CALL_METRICS_H_
