#ifndef IBISMUX_ADMISSION_FLEET_SHARE_H_
#define IBISMUX_ADMISSION_FLEET_SHARE_H_

#include <cstdint>

namespace ibismux::admission {

/// The position of this daemon among the serving daemons, sorted by name.
struct FleetRank {
  std::uint32_t rank = 0;
  std::uint32_t count = 1;  ///< At least 1.

  [[nodiscard]] bool operator==(const FleetRank&) const = default;
};

/// This daemon's share of a limit that applies to the whole fleet. The shares
/// of all daemons that see the same members add up to the limit exactly. The
/// remainder of the division goes to daemons selected by `salt`, so that the
/// first ones by name don't get it for every limit.
[[nodiscard]] constexpr std::uint32_t fleet_share(std::uint32_t limit,
                                                  FleetRank self,
                                                  std::uint64_t salt) noexcept {
  const std::uint32_t remainder = limit % self.count;
  const auto position =
      static_cast<std::uint32_t>((self.rank + salt % self.count) % self.count);
  return limit / self.count + (position < remainder ? 1 : 0);
}

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_FLEET_SHARE_H_
