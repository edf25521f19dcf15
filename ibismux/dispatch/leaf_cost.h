#ifndef IBISMUX_DISPATCH_LEAF_COST_H_
#define IBISMUX_DISPATCH_LEAF_COST_H_

#include <cstddef>

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// State of a leaf that load balancing takes into account.
struct LeafCostFactors {
  double ratio = 1;              ///< Latency relative to the typical latency.
  double failure_share = 0;      ///< Of recent calls; 0 to 1.
  std::size_t active_calls = 0;  ///< Calls of this daemon at the leaf.
  std::size_t slots = 1;         ///< Calls that the leaf executes at once.
  bool cold = false;             ///< The leaf is still warming up.
  bool remote = false;           ///< In another zone than this daemon.
  bool keeps_links = true;       ///< This daemon keeps idle links to it.
  bool has_idle_link = true;
};

/// Estimated cost of a call at a leaf, expressed as time. The leaf with the
/// lowest cost gets the call. Thread safe.
///
/// @param typical_latency Latency of such a call at the median leaf.
/// @param objective Latency objective of the caller.
/// @param remote_cost See `DispatchSettings`.
[[nodiscard]] Duration leaf_cost(const LeafCostFactors& leaf,
                                 Duration typical_latency,
                                 Duration objective,
                                 double remote_cost) noexcept;

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LEAF_COST_H_
