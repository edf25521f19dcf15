#ifndef IBISMUX_BASE_TEXT_HASH_H_
#define IBISMUX_BASE_TEXT_HASH_H_

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace ibismux {

/// A hash of `text`, the same on all hosts and in all runs. Thread safe.
/// @param salt Gives another, independent hash.
[[nodiscard]] inline std::uint64_t text_hash(std::string_view text,
                                             std::uint64_t salt = 0) noexcept {
  return XXH3_64bits_withSeed(text.data(), text.size(), salt);
}

}  // namespace ibismux

#endif  // IBISMUX_BASE_TEXT_HASH_H_
