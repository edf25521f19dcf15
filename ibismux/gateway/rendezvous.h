#ifndef IBISMUX_GATEWAY_RENDEZVOUS_H_
#define IBISMUX_GATEWAY_RENDEZVOUS_H_

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <string_view>

#include "ibismux/base/text_hash.h"

namespace ibismux::gateway {

/// The hash by which a leaf or a member enters `rendezvous_score`. Thread safe.
[[nodiscard]] inline std::uint64_t rendezvous_key(
    std::string_view name) noexcept {
  return text_hash(name);
}

/// The score of a pair: the member with the highest score comes first. Thread
/// safe.
[[nodiscard]] inline std::uint64_t rendezvous_score(
    std::uint64_t leaf,
    std::uint64_t member) noexcept {
  const std::array<std::uint64_t, 2> pair = {leaf, member};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_RENDEZVOUS_H_
