#ifndef IBISMUX_RESERVATION_KEY_HASH_H_
#define IBISMUX_RESERVATION_KEY_HASH_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace ibismux::reservation {

/// How many bucket objects the keys of the whole fleet are spread over. Part of
/// the stored format: a fleet must not run with two values.
///
/// Few, because each bucket commits at most so often a second: more buckets
/// mean smaller groups, and so more platform writes for each reservation.
inline constexpr std::uint32_t kBuckets = 4;

/// Stands for one idempotency key of one service.
struct KeyHash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  [[nodiscard]] auto operator<=>(const KeyHash&) const noexcept = default;
};

/// Thread safe.
[[nodiscard]] KeyHash hash_key(std::string_view service, std::string_view key);

/// The bucket that holds the key, below `kBuckets`. Thread safe.
[[nodiscard]] std::uint32_t bucket_of(const KeyHash& key) noexcept;

/// Tells apart two bodies sent under one key. Thread safe.
[[nodiscard]] std::uint64_t hash_body(std::string_view body) noexcept;

}  // namespace ibismux::reservation

template <>
struct std::hash<ibismux::reservation::KeyHash> {
  std::size_t operator()(
      const ibismux::reservation::KeyHash& key) const noexcept {
    return key.low;
  }
};

#endif  // IBISMUX_RESERVATION_KEY_HASH_H_
