#include "ibismux/dispatch/repeat_burst.h"

#include <algorithm>

#include "ibismux/dispatch/link_plan.h"

namespace ibismux::dispatch {

namespace {

// Covers a pause of one leaf, during which each of its calls is repeated.
constexpr double kMaxBurst = 6;
// The fraction of the total that the gathering daemons share.
constexpr double kGatherersFraction = 0.5;

}  // namespace

double repeat_burst(double slack, const LinkSharers& sharers) {
  const double hosts =
      static_cast<double>(std::max<std::size_t>(1, sharers.hosts));
  const double even_share = slack / hosts;
  if (!sharers.has_roles()) {
    return std::min(kMaxBurst, even_share);
  }
  const double gatherers = static_cast<double>(sharers.gatherers);
  const double gatherer_burst = std::min(
      kMaxBurst, std::max(even_share, slack * kGatherersFraction / gatherers));
  const double other_burst =
      (slack - gatherer_burst * gatherers) / (hosts - gatherers);
  return sharers.gathers ? gatherer_burst : std::min(kMaxBurst, other_burst);
}

}  // namespace ibismux::dispatch
