#include "ibismux/dispatch/leaf_cost.h"

#include <algorithm>
#include <chrono>

namespace ibismux::dispatch {

namespace {

// Cost of opening a connection before the call can be sent; leafs take 1 to 6
// ms to accept one.
constexpr std::chrono::milliseconds kDialCost{6};
// Cost of a leaf that fails all its calls, as a multiple of the objective.
constexpr double kFailureCost = 2;
// Cost, as a multiple of the objective, of a leaf to which this daemon keeps no
// links. Such a leaf is worth a dial and a connection beyond the daemon's share
// only if the other leafs are practically unusable.
constexpr double kLastResortCost = 0.05;
// A leaf that is still warming up is slower than its peers by about this
// factor.
constexpr double kColdRatio = 1.6;

}  // namespace

Duration leaf_cost(const LeafCostFactors& leaf,
                   Duration typical_latency,
                   Duration objective,
                   double remote_cost) noexcept {
  const double slots =
      static_cast<double>(std::max<std::size_t>(1, leaf.slots));
  const double load = 1 + static_cast<double>(leaf.active_calls) / slots;
  Duration cost =
      scaled(typical_latency, leaf.ratio * (leaf.cold ? kColdRatio : 1) * load);
  cost += scaled(objective, leaf.failure_share * kFailureCost);
  if (leaf.remote) {
    cost += scaled(typical_latency, remote_cost);
  }
  if (!leaf.keeps_links) {
    cost += scaled(objective, kLastResortCost);
  }
  if (!leaf.has_idle_link) {
    cost += kDialCost;
  }
  return cost;
}

}  // namespace ibismux::dispatch
