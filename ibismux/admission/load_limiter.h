#ifndef IBISMUX_ADMISSION_LOAD_LIMITER_H_
#define IBISMUX_ADMISSION_LOAD_LIMITER_H_

#include <array>
#include <cstdint>
#include <mutex>

#include "ibismux/admission/adaptive_limit.h"
#include "ibismux/admission/forward.h"
#include "ibismux/base/priority.h"
#include "ibismux/base/time.h"

namespace ibismux::admission {

/// Limits the requests in flight to services that share leafs, by adaptive
/// limits with strict priority.
///
/// Each priority class has its own adaptive limit, which applies to the
/// requests in flight of the class itself and of all higher classes, and is
/// adjusted by how long the class's own calls wait for leafs. The leafs' queues
/// serve higher classes first, so under overload the lowest class waits and is
/// shed. Requests in flight of a lower class never cause a higher one to be
/// refused. A single limit for all classes would shed the higher ones too, in
/// each short burst of their own requests.
///
/// Thread safe.
class LoadLimiter {
 public:
  explicit LoadLimiter(double initial_limit);

  /// Takes a slot. @return Zero if one was free, otherwise the estimated time
  /// after which to retry.
  [[nodiscard]] Duration try_acquire(Priority priority, TimePoint now);

  /// Releases the slot of a request that did not run.
  void release_unused(Priority priority);

  /// Releases a slot and adjusts the limit by how the request ended.
  void finish(Priority priority,
              Duration latency,
              const RequestEnd& end,
              TimePoint now);

  [[nodiscard]] double current_limit(Priority priority);
  [[nodiscard]] std::uint32_t in_flight();

 private:
  struct PriorityClass {
    AdaptiveLimit limit;
    std::uint32_t in_flight = 0;
    Duration mean_latency{};  ///< Moving average.
    /// Number of recent refusals, decaying exponentially. A request that
    /// retries soon competes with the others that were refused.
    double recent_refusals = 0;
    TimePoint last_refusal{};
  };

  [[nodiscard]] PriorityClass& at(Priority priority) noexcept {
    return this->classes[static_cast<std::size_t>(priority)];
  }
  /// The requests in flight of the class and of all higher classes.
  [[nodiscard]] std::uint32_t in_flight_up_to(Priority priority) const noexcept;
  /// The latency of a failed request divided by the mean latency of successful
  /// ones; 1 if that isn't known yet.
  [[nodiscard]] static double stretch_of(const PriorityClass& priority_class,
                                         Duration latency) noexcept;
  [[nodiscard]] static Duration retry_wait(PriorityClass& priority_class,
                                           TimePoint now) noexcept;

  std::mutex mutex;
  std::array<PriorityClass, kPriorities> classes;
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_LOAD_LIMITER_H_
