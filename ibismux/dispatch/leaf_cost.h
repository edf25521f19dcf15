#ifndef IBISMUX_DISPATCH_LEAF_COST_H_
#define IBISMUX_DISPATCH_LEAF_COST_H_

#include <cstddef>

#include "ibismux/base/time.h"

namespace ibismux::dispatch {

/// What a choice between leafs looks at.
struct LeafState {
  double ratio = 1;          ///< How many times the usual its calls take.
  double failure_share = 0;  ///< Of its late calls.
  std::size_t busy = 0;      ///< Calls that it has from this daemon.
  std::size_t slots = 1;     ///< Calls that it works on at once.
  bool cold = false;         ///< Has only just started.
  bool remote = false;       ///< In another zone.
  bool keeps_links = true;   ///< This daemon keeps links to it.
  bool has_idle_link = true;
};

/// What a call costs at a leaf, in time: the least is asked. Thread safe.
///
/// @param usual What such a call takes at the median leaf.
/// @param objective Within which its caller wants the answer.
/// @param remote_cost See `DispatchSettings`.
[[nodiscard]] Duration leaf_cost(const LeafState& leaf,
                                 Duration usual,
                                 Duration objective,
                                 double remote_cost) noexcept;

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LEAF_COST_H_
