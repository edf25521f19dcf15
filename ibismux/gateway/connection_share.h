#ifndef IBISMUX_GATEWAY_CONNECTION_SHARE_H_
#define IBISMUX_GATEWAY_CONNECTION_SHARE_H_

#include <cstdint>

namespace ibismux::gateway {

/// How many daemons may hold connections to one leaf in one view: its gateway
/// and the stand-bys.
inline constexpr std::uint32_t kRanks = 3;

/// Parts into which a leaf's connections are divided: one a rank, and one that
/// nobody is given. It is what a daemon still holds that is paused or cut off
/// while another one takes its place.
inline constexpr std::uint32_t kParts = kRanks + 1;

/// Connections of the daemon at `rank`, of a leaf that accepts `limit`. Thread
/// safe.
///
/// The part is the same for each rank: two daemons that both believe to come
/// first hold no more together than a first and a second.
[[nodiscard]] constexpr std::uint32_t rank_share(std::uint32_t limit,
                                                 std::uint32_t rank) noexcept {
  const std::uint32_t part = limit / kParts;
  if (part > 0) {
    return rank < kRanks ? part : 0;
  }
  return rank < limit ? 1 : 0;
}

/// Connections of each of `members` daemons that all reach the leaf. Thread
/// safe.
[[nodiscard]] constexpr std::uint32_t direct_share(
    std::uint32_t limit,
    std::uint32_t members) noexcept {
  return members == 0 ? 0 : limit / members;
}

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_CONNECTION_SHARE_H_
