#ifndef IBISMUX_ADMISSION_LOAD_POOL_H_
#define IBISMUX_ADMISSION_LOAD_POOL_H_

#include <array>
#include <cstdint>
#include <mutex>

#include "ibismux/admission/adaptive_limit.h"
#include "ibismux/admission/forward.h"
#include "ibismux/base/priority.h"
#include "ibismux/base/time.h"

namespace ibismux::admission {

/// The requests in flight to services that share leafs, under adaptive limits
/// with strict priority.
///
/// Each class has its own limit, on the requests of itself and of the classes
/// that go before it, and learns it from how long its own calls waited for
/// leafs. The leafs' queues serve the higher class first, so under overload it
/// is the lowest that waits, and which is shed; nothing that a lower class has
/// in flight can refuse a higher one. One limit for all classes would shed the
/// higher ones too, in each short burst of their own.
///
/// Thread safe.
class LoadPool {
 public:
  explicit LoadPool(double initial_limit);

  /// Takes a slot. @return Zero if one was free, else about when to come back.
  [[nodiscard]] Duration enter(Priority priority, TimePoint now);

  /// Gives a slot back that was never used.
  void leave(Priority priority);

  /// Gives a slot back and learns from how the request went.
  void finish(Priority priority,
              Duration latency,
              const RequestEnd& end,
              TimePoint now);

  [[nodiscard]] double current_limit(Priority priority);
  [[nodiscard]] std::uint32_t in_flight();

 private:
  struct Class {
    AdaptiveLimit limit;
    std::uint32_t in_flight = 0;
    Duration usual_latency{};  ///< Moving average.
    /// Refused a moment ago, fading: who comes back soon competes with them.
    double refused = 0;
    TimePoint refused_at{};
  };

  [[nodiscard]] Class& at(Priority priority) noexcept {
    return this->classes[static_cast<std::size_t>(priority)];
  }
  /// Of the class and of those before it.
  [[nodiscard]] std::uint32_t in_flight_up_to(Priority priority) const noexcept;
  /// A failed request's latency over the usual one of those that go well.
  [[nodiscard]] static double stretch_of(const Class& own,
                                         Duration latency) noexcept;
  [[nodiscard]] static Duration wait(Class& own, TimePoint now) noexcept;

  std::mutex mutex;
  std::array<Class, kPriorities> classes;
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_LOAD_POOL_H_
