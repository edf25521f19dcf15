#include "ibismux/coverage/coverage_budget.h"

namespace ibismux::coverage {

namespace {

// Of fewer parts that must all answer, none is slow in most queries.
constexpr std::size_t kManyParts = 8;
// Hedges of parts that can't be left out come this much earlier. A few more
// calls in a hundred are hedged than usually.
constexpr double kUrgentDelayFactor = 0.8;
// The second leaf of such a part may be slow as well.
constexpr std::uint32_t kUrgentOpenCalls = 3;

}  // namespace

PartUrgency CoverageBudget::urgency(std::size_t lost) const noexcept {
  const bool is_urgent = this->shards >= kManyParts &&
                         this->is_reachable(lost) && this->spare(lost) == 0;
  if (!is_urgent) {
    return {};
  }
  return {.hedge_delay_factor = kUrgentDelayFactor,
          .max_open_calls = kUrgentOpenCalls,
          .fastest_repeat = true};
}

}  // namespace ibismux::coverage
