#ifndef IBISMUX_GATHER_GATHER_ROOM_H_
#define IBISMUX_GATHER_GATHER_ROOM_H_

#include <algorithm>
#include <cstddef>

namespace ibismux::gather {

/// How many queries a daemon gathers for others at the same time, and which
/// part of that room daemons of other zones get.
///
/// Thread safe.
class GatherRoom {
 public:
  /// Limit of concurrent queries. Their answers share the link and the
  /// processor of the host; beyond this limit the daemons that received the
  /// queries gather them faster themselves.
  static constexpr std::size_t kMaxQueries = 24;
  /// Part of that which daemons of other zones don't get, so that a sudden
  /// demand of the own zone finds room.
  static constexpr std::size_t kReservedForZone = kMaxQueries / 2;
  /// Room in one offer to a daemon of another zone: several ask at the same
  /// time.
  static constexpr std::size_t kMaxDistantRoom = 4;

  /// The queries that are offered to each daemon of the own zone.
  /// @param running Queries in progress.
  [[nodiscard]] static constexpr std::size_t near_room(
      std::size_t running) noexcept {
    return kMaxQueries - std::min(kMaxQueries, running);
  }
  /// The queries that are offered to a daemon of another zone that asks.
  [[nodiscard]] static constexpr std::size_t distant_room(
      std::size_t running) noexcept {
    return std::min(kMaxDistantRoom, near_room(running + kReservedForZone));
  }
  /// Whether one more query is taken.
  [[nodiscard]] static constexpr bool has_room(std::size_t running,
                                               bool is_distant) noexcept {
    return (is_distant ? distant_room(running) : near_room(running)) > 0;
  }
};

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_GATHER_ROOM_H_
