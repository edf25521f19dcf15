#include "ibismux/store/fleet_budget.h"

#include <algorithm>

namespace ibismux::store {

CallRates share_of(const FleetBudget& fleet, std::size_t members) noexcept {
  const double daemons = static_cast<double>(std::max<std::size_t>(members, 1));
  const double burst_seconds =
      std::chrono::duration<double>(fleet.burst_time).count();
  CallRates rates;
  for (std::size_t i = 0; i < kCallKinds; ++i) {
    const double part = fleet.per_second[i] * fleet.oversubscription / daemons;
    const double least = fleet.least_per_second[i];
    const double most = std::max(fleet.most_per_second[i], least);
    const double rate = std::clamp(part, least, most);
    rates[i] = {rate, std::max(rate * burst_seconds, fleet.least_burst[i])};
  }
  return rates;
}

}  // namespace ibismux::store
