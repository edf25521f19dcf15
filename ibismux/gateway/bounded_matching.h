#ifndef IBISMUX_GATEWAY_BOUNDED_MATCHING_H_
#define IBISMUX_GATEWAY_BOUNDED_MATCHING_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "ibismux/gateway/zone_ring.h"

namespace ibismux::gateway {

/// The most leafs that one of `members` daemons owns, of `leafs` in all: at
/// most a quarter above the mean where the numbers allow. Thread safe.
[[nodiscard]] std::size_t leaf_capacity(std::size_t leafs,
                                        std::size_t members) noexcept;

/// Gives each leaf the nearest daemon on the ring, none of which takes more
/// than `capacity`; where more want one, the nearest get it.
///
/// This is deferred acceptance on a score that both sides share (the distance),
/// so the result is unique: it depends on who is there, not on the order in
/// which they came. Thread safe.
/// @param positions Of the leafs on the ring.
/// @return For each leaf, the number of its seat. Precondition: the capacity of
/// all seats together is at least the number of leafs.
[[nodiscard]] std::vector<std::uint32_t> match_bounded(
    const ZoneRing& ring,
    const std::vector<std::uint64_t>& positions,
    std::size_t capacity);

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_BOUNDED_MATCHING_H_
