#ifndef IBISMUX_DISPATCH_ZONE_EXIT_H_
#define IBISMUX_DISPATCH_ZONE_EXIT_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace ibismux::dispatch {

/// Why a call leaves the zone of its daemon: what kept the leaf of that zone
/// which came closest to being chosen. Traffic between zones is paid for.
enum class ZoneExit : unsigned char {
  kStays,         ///< It doesn't leave.
  kNoLeaf,        ///< The zone has none that may be called.
  kTried,         ///< All of them have the request already.
  kNoRoom,        ///< As many calls as this daemon lets it have.
  kUnresponsive,  ///< Calls wait there without any answer.
  kSlower,        ///< A leaf of another zone answers sooner.
};

inline constexpr std::size_t kZoneExits = 6;

[[nodiscard]] constexpr std::string_view to_string(ZoneExit exit) noexcept {
  constexpr std::array<std::string_view, kZoneExits> kNames = {
      "stays", "no_leaf", "tried", "no_room", "unresponsive", "slower"};
  return kNames[static_cast<std::size_t>(exit)];
}

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_ZONE_EXIT_H_
