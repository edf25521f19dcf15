#ifndef IBISMUX_CONCURRENCY_CONCURRENCY_LIMIT_H_
#define IBISMUX_CONCURRENCY_CONCURRENCY_LIMIT_H_

#include <cstddef>

#include "ibismux/base/time.h"

namespace ibismux::concurrency {

/// How many calls a leaf gets at once, learned from how they end.
///
/// Holds no clock. Not thread safe.
class ConcurrencyLimit {
 public:
  virtual ~ConcurrencyLimit() = default;

  /// The most calls at once; at least 1.
  [[nodiscard]] virtual double limit() const noexcept = 0;

  /// A call was answered after `leaf_time`.
  /// @param in_flight Calls that ran when it ended, itself included.
  virtual void on_answer(Duration leaf_time,
                         std::size_t in_flight,
                         TimePoint now) = 0;

  /// The leaf refused a call for load.
  virtual void on_overload(TimePoint now) = 0;

  /// The leaf is cold, came back, or its connections broke: start from 1.
  virtual void on_cold() = 0;

  /// The operator declared another number of slots.
  virtual void declare(std::size_t slots) = 0;
};

}  // namespace ibismux::concurrency

#endif  // IBISMUX_CONCURRENCY_CONCURRENCY_LIMIT_H_
