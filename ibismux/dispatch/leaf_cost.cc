#include "ibismux/dispatch/leaf_cost.h"

#include <algorithm>
#include <chrono>

namespace ibismux::dispatch {

namespace {

// What dialling costs before a call can be sent; leafs take 1 to 6 ms for it.
constexpr std::chrono::milliseconds kDialCost{6};
// What a leaf that fails all its calls costs, in times the objective.
constexpr double kFailureCost = 2;
// A leaf to which this daemon keeps no links is worth a dial, and a connection
// beyond its share, only where the others are as good as lost.
constexpr double kLastResortCost = 0.05;
// A leaf that has just started works slower than its peers by about this.
constexpr double kColdRatio = 1.6;

}  // namespace

Duration leaf_cost(const LeafState& leaf,
                   Duration usual,
                   Duration objective,
                   double remote_cost) noexcept {
  const double slots =
      static_cast<double>(std::max<std::size_t>(1, leaf.slots));
  const double load = 1 + static_cast<double>(leaf.busy) / slots;
  Duration cost =
      scaled(usual, leaf.ratio * (leaf.cold ? kColdRatio : 1) * load);
  cost += scaled(objective, leaf.failure_share * kFailureCost);
  if (leaf.remote) {
    cost += scaled(usual, remote_cost);
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
