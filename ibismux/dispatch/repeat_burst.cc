#include "ibismux/dispatch/repeat_burst.h"

#include <algorithm>

#include "ibismux/dispatch/link_plan.h"

namespace ibismux::dispatch {

namespace {

// Enough for a pause of one leaf, in which each of its calls is sent again.
constexpr double kMostBurst = 6;
// Of the whole, for all daemons that gather together.
constexpr double kGatherersPart = 0.5;

}  // namespace

double repeat_burst(double slack, const LinkSharers& sharers) {
  const double hosts =
      static_cast<double>(std::max<std::size_t>(1, sharers.hosts));
  const double even = slack / hosts;
  if (!sharers.has_roles()) {
    return std::min(kMostBurst, even);
  }
  const double gatherers = static_cast<double>(sharers.gatherers);
  const double gathering =
      std::min(kMostBurst, std::max(even, slack * kGatherersPart / gatherers));
  const double rest = (slack - gathering * gatherers) / (hosts - gatherers);
  return sharers.gathers ? gathering : std::min(kMostBurst, rest);
}

}  // namespace ibismux::dispatch
