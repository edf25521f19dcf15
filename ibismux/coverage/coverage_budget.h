#ifndef IBISMUX_COVERAGE_COVERAGE_BUDGET_H_
#define IBISMUX_COVERAGE_COVERAGE_BUDGET_H_

#include <cstddef>

#include "ibismux/coverage/part_urgency.h"

namespace ibismux::coverage {

/// How many shards a query may still leave out, and what that makes its open
/// parts worth.
///
/// Answers the load of a query that needs nearly all shards while some have no
/// leafs: each part that is left must answer, and the slowest of many leafs
/// decides when the query is answered.
///
/// Uses no sockets and reads no clock. Thread safe: immutable.
class CoverageBudget {
 public:
  /// @param shards The shards of the query. @param required The least number of
  /// them in an answer. Precondition: 0 < `required` <= `shards`.
  CoverageBudget(std::size_t shards, std::size_t required) noexcept
      : shards(shards), required(required) {}

  /// Shards that may still be left out after `lost` of them have failed or have
  /// no leaf. Zero if the coverage can't be reached any more as well.
  [[nodiscard]] std::size_t spare(std::size_t lost) const noexcept {
    const std::size_t allowed = this->shards - this->required;
    return lost < allowed ? allowed - lost : 0;
  }

  /// Whether an answer is still possible.
  [[nodiscard]] bool is_reachable(std::size_t lost) const noexcept {
    return this->shards - lost >= this->required;
  }

  /// What the open parts may spend after `lost` shards have failed or have no
  /// leaf. Queries over a few shards are as they are without a budget.
  [[nodiscard]] PartUrgency urgency(std::size_t lost) const noexcept;

 private:
  std::size_t shards;
  std::size_t required;
};

}  // namespace ibismux::coverage

#endif  // IBISMUX_COVERAGE_COVERAGE_BUDGET_H_
