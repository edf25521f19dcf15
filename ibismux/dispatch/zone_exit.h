#ifndef IBISMUX_DISPATCH_ZONE_EXIT_H_
#define IBISMUX_DISPATCH_ZONE_EXIT_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace ibismux::dispatch {

/// Why a call was sent to another zone than that of its daemon. If the leafs of
/// the daemon's zone were passed over for different reasons, it is the reason
/// that applied to the leaf closest to being chosen; the values are in that
/// order. Counted because traffic between zones is charged for.
enum class ZoneExit : unsigned char {
  kStays,         ///< The call stays in the zone.
  kNoLeaf,        ///< The zone has no leaf that may be called.
  kTried,         ///< The leaf has already been sent this request.
  kNoRoom,        ///< The leaf is at this daemon's concurrency limit.
  kUnresponsive,  ///< Calls wait at the leaf without any answer.
  kSlower,        ///< A leaf of another zone should answer sooner.
};

inline constexpr std::size_t kZoneExits = 6;

[[nodiscard]] constexpr std::string_view to_string(ZoneExit exit) noexcept {
  constexpr std::array<std::string_view, kZoneExits> kNames = {
      "stays", "no_leaf", "tried", "no_room", "unresponsive", "slower"};
  return kNames[static_cast<std::size_t>(exit)];
}

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_ZONE_EXIT_H_
