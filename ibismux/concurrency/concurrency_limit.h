#ifndef IBISMUX_CONCURRENCY_CONCURRENCY_LIMIT_H_
#define IBISMUX_CONCURRENCY_CONCURRENCY_LIMIT_H_

#include <cstddef>

#include "ibismux/base/time.h"

namespace ibismux::concurrency {

/// Adaptive limit on the concurrent calls to a leaf, adjusted by how the calls
/// end.
///
/// Doesn't read a clock; methods take the time where they need it. Not thread
/// safe.
class ConcurrencyLimit {
 public:
  virtual ~ConcurrencyLimit() = default;

  /// Maximum number of concurrent calls; at least 1.
  [[nodiscard]] virtual double limit() const noexcept = 0;

  /// Records a call that was answered after `leaf_time`.
  /// @param in_flight Calls running when it ended, including itself.
  virtual void on_answer(Duration leaf_time,
                         std::size_t in_flight,
                         TimePoint now) = 0;

  /// Records that the leaf refused a call because it was overloaded.
  virtual void on_overload(TimePoint now) = 0;

  /// Restarts the limit at 1. Called when the leaf is cold or came back, or its
  /// connections broke.
  virtual void on_cold() = 0;

  /// Sets the number of slots that the operator declared. A change restarts the
  /// limit at that number.
  virtual void set_slots(std::size_t slots) = 0;
};

}  // namespace ibismux::concurrency

#endif  // IBISMUX_CONCURRENCY_CONCURRENCY_LIMIT_H_
