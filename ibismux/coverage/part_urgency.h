#ifndef IBISMUX_COVERAGE_PART_URGENCY_H_
#define IBISMUX_COVERAGE_PART_URGENCY_H_

#include <cstdint>

namespace ibismux::coverage {

/// What the open parts of a query may spend on their answers. The defaults are
/// those of a query without coverage to lose or to spare.
struct PartUrgency {
  /// Multiple of the usual delay after which a call is hedged.
  double hedge_delay_factor = 1;
  /// Leafs that may work on one part at the same time.
  std::uint32_t max_open_calls = 2;
  /// Repeats that are left in the budget of the service for more urgent parts.
  double reserved_repeats = 0;
  /// Chooses the leaf that is expected to answer first, even in another zone.
  bool fastest_leaf = false;
};

}  // namespace ibismux::coverage

#endif  // IBISMUX_COVERAGE_PART_URGENCY_H_
