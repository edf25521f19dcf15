#ifndef IBISMUX_ADMISSION_LOAD_POOL_H_
#define IBISMUX_ADMISSION_LOAD_POOL_H_

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>

#include "ibismux/admission/adaptive_limit.h"
#include "ibismux/admission/latency_baseline.h"
#include "ibismux/base/error.h"
#include "ibismux/base/priority.h"
#include "ibismux/base/time.h"

namespace ibismux::admission {

/// The requests in flight to services that share leafs, under one adaptive
/// limit with strict priority: a class counts only itself and the classes that
/// go before it. So the lowest is shed first, and nothing that a lower class
/// has in flight can refuse a higher one; the leafs' queues serve the higher
/// one first.
///
/// Thread safe.
class LoadPool {
 public:
  explicit LoadPool(double initial_limit) : limit(initial_limit) {}

  /// Takes a slot. @return Zero if one was free, else about when to come back.
  [[nodiscard]] Duration enter(Priority priority, TimePoint now);

  /// Gives a slot back that was never used.
  void leave(Priority priority);

  /// Gives a slot back. @param baseline Of the request's service; used only
  /// under this pool's lock.
  void finish(Priority priority,
              Duration latency,
              std::optional<ErrorKind> error,
              LatencyBaseline& baseline,
              TimePoint now);

  [[nodiscard]] double current_limit();
  [[nodiscard]] std::uint32_t in_flight();

 private:
  [[nodiscard]] Duration wait(TimePoint now) noexcept;

  std::mutex mutex;
  AdaptiveLimit limit;
  std::array<std::uint32_t, kPriorities> counts{};
  Duration usual_latency{};  ///< Moving average.
  /// Refused a moment ago, fading: who comes back soon competes with them.
  double refused = 0;
  TimePoint refused_at{};
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_LOAD_POOL_H_
