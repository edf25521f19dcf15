#ifndef IBISMUX_ADMISSION_FLEET_SHARE_H_
#define IBISMUX_ADMISSION_FLEET_SHARE_H_

#include <cstdint>

namespace ibismux::admission {

/// Where this daemon stands among those that serve, in order of their names.
struct FleetRank {
  std::uint32_t rank = 0;
  std::uint32_t count = 1;  ///< At least 1.

  [[nodiscard]] bool operator==(const FleetRank&) const = default;
};

/// This daemon's part of a limit of the whole fleet. The parts of all daemons
/// that see the same members add up to the limit exactly; what doesn't divide
/// goes to some of them, picked by `salt` so that it isn't always the first.
[[nodiscard]] constexpr std::uint32_t fleet_share(std::uint32_t limit,
                                                  FleetRank self,
                                                  std::uint64_t salt) noexcept {
  const std::uint32_t rest = limit % self.count;
  const auto turn =
      static_cast<std::uint32_t>((self.rank + salt % self.count) % self.count);
  return limit / self.count + (turn < rest ? 1 : 0);
}

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_FLEET_SHARE_H_
