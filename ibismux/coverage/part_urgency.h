#ifndef IBISMUX_COVERAGE_PART_URGENCY_H_
#define IBISMUX_COVERAGE_PART_URGENCY_H_

#include <cstdint>

namespace ibismux::coverage {

/// What the open parts of a query may spend on their answers. The defaults are
/// those of a query that can still leave out shards.
struct PartUrgency {
  /// Multiple of the usual delay after which a call is hedged, as far as the
  /// bounds of that delay allow.
  double hedge_delay_factor = 1;
  /// Leafs that may work on one part at the same time.
  std::uint32_t max_open_calls = 2;
  /// Repeats go to the leaf that is expected to answer first, even in another
  /// zone.
  bool fastest_repeat = false;

  [[nodiscard]] bool operator==(const PartUrgency&) const = default;
};

}  // namespace ibismux::coverage

#endif  // IBISMUX_COVERAGE_PART_URGENCY_H_
