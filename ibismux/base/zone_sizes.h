#ifndef IBISMUX_BASE_ZONE_SIZES_H_
#define IBISMUX_BASE_ZONE_SIZES_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace ibismux {

/// Some of the availability zones.
using ZoneNames = std::set<std::string, std::less<>>;

/// Daemons of each availability zone.
using ZoneSizes = std::map<std::string, std::size_t, std::less<>>;

/// Daemons of all zones. Thread safe.
[[nodiscard]] inline std::size_t total_of(const ZoneSizes& zones) noexcept {
  std::size_t total = 0;
  for (const auto& [zone, hosts] : zones) {
    total += hosts;
  }
  return total;
}

}  // namespace ibismux

#endif  // IBISMUX_BASE_ZONE_SIZES_H_
