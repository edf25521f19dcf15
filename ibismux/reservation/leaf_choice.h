#ifndef IBISMUX_RESERVATION_LEAF_CHOICE_H_
#define IBISMUX_RESERVATION_LEAF_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "ibismux/base/error.h"
#include "ibismux/release/forward.h"

namespace ibismux::reservation {

/// Where one reservation goes.
struct LeafChoice {
  std::string snapshot;
  std::string shard;
  std::string leaf;
};

/// The position of `item` in the key space. Thread safe.
[[nodiscard]] std::uint32_t item_position(std::string_view item) noexcept;

/// The leaf for `item` in the newest snapshot of `service`.
///
/// Every daemon with the same release makes the same choice: the replicas that
/// are not leaving, in the order in which the shard lists them. So the
/// reservations of one shard meet at one leaf. Only an attempt that the leaf
/// certainly did not run moves on: `attempt` counts those.
///
/// Errors: kNotFound (no such service), kNotReady (no servable snapshot),
/// kLeafUnavailable (every replica is leaving); all kNotRun. Thread safe.
[[nodiscard]] Result<LeafChoice> choose_leaf(const release::Release& release,
                                             std::string_view service,
                                             std::string_view item,
                                             std::size_t attempt);

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_LEAF_CHOICE_H_
