#ifndef IBISMUX_GATEWAY_LEAF_GROUPS_H_
#define IBISMUX_GATEWAY_LEAF_GROUPS_H_

#include <cstdint>
#include <vector>

#include "ibismux/release/forward.h"

namespace ibismux::gateway {

/// For each leaf of `release`, the key of the service that it mostly serves:
/// the first by name whose shards it holds. Leafs that queries meet together
/// have the same key, so that ownership can keep them together. Thread safe.
[[nodiscard]] std::vector<std::uint64_t> leaf_groups(
    const release::Release& release);

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_LEAF_GROUPS_H_
