#ifndef IBISMUX_BASE_ZONE_REGIONS_H_
#define IBISMUX_BASE_ZONE_REGIONS_H_

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "ibismux/base/zone_sizes.h"

namespace ibismux {

/// The region of each availability zone, by the zone's name.
using ZoneRegions = std::map<std::string, std::string, std::less<>>;

/// The zones that lie in one of `regions`. A zone whose region isn't known lies
/// in none of them. Thread safe.
[[nodiscard]] inline ZoneNames zones_in(
    const ZoneRegions& zones,
    const std::vector<std::string>& regions) {
  ZoneNames found;
  for (const auto& [zone, region] : zones) {
    if (std::find(regions.begin(), regions.end(), region) != regions.end()) {
      found.insert(zone);
    }
  }
  return found;
}

}  // namespace ibismux

#endif  // IBISMUX_BASE_ZONE_REGIONS_H_
