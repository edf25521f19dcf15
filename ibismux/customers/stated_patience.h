#ifndef IBISMUX_CUSTOMERS_STATED_PATIENCE_H_
#define IBISMUX_CUSTOMERS_STATED_PATIENCE_H_

#include <array>
#include <cstddef>

#include "ibismux/base/time.h"

namespace ibismux::customers {

/// How long the callers of one route say that they wait, and from that whether
/// a request's caller has already been waiting elsewhere: callers of one kind
/// start with the same time, and one that comes back after a refusal has less
/// of it left.
///
/// Not thread safe.
class StatedPatience {
 public:
  /// Records the time that a request's caller has left.
  void record(Duration left);

  /// Whether a caller with `left` has been waiting for longer than `objective`.
  /// False until enough requests are known.
  [[nodiscard]] bool is_late(Duration left, Duration objective) const;

 private:
  static constexpr std::size_t kSamples = 32;

  std::array<Duration, kSamples> samples{};
  std::size_t count = 0;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_STATED_PATIENCE_H_
