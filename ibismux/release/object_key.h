#ifndef IBISMUX_RELEASE_OBJECT_KEY_H_
#define IBISMUX_RELEASE_OBJECT_KEY_H_

#include <array>
#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace ibismux::release {

/// The kinds of objects that operators write.
enum class ObjectKind : unsigned char {
  kQueryService,
  kShard,
  kBackendServer,
  kSnapshot,
  kLimitPolicy,
};

inline constexpr std::size_t kObjectKinds = 5;

/// Names of the kinds in paths, in JSON and in the platform's store.
inline constexpr std::array<std::string_view, kObjectKinds> kObjectKindNames = {
    "query_service", "shard", "backend_server", "snapshot", "limit_policy"};

[[nodiscard]] constexpr std::string_view to_string(ObjectKind kind) noexcept {
  return kObjectKindNames[static_cast<std::size_t>(kind)];
}

[[nodiscard]] std::optional<ObjectKind> object_kind_of(
    std::string_view name) noexcept;

/// Objects name only objects of lower layers, so they are best written from the
/// lowest layer up and deleted from the highest down.
[[nodiscard]] constexpr std::size_t layer_of(ObjectKind kind) noexcept {
  constexpr std::array<std::size_t, kObjectKinds> kLayers = {1, 2, 0, 3, 0};
  return kLayers[static_cast<std::size_t>(kind)];
}

/// Names one object; unique in the whole fleet.
struct ObjectKey {
  ObjectKind kind = ObjectKind::kQueryService;
  std::string name;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  [[nodiscard]] auto operator<=>(const ObjectKey&) const = default;
};

/// `kind:name`, the object's name in the platform's store. Thread safe.
[[nodiscard]] std::string to_string(const ObjectKey& key);

/// The key that `text` spells as `kind:name`, or nothing. Thread safe.
[[nodiscard]] std::optional<ObjectKey> object_key_of(std::string_view text);

/// Whether `name` may name an object: 1 to 128 of A-Z a-z 0-9 . _ -
/// Thread safe.
[[nodiscard]] bool is_object_name(std::string_view name) noexcept;

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_OBJECT_KEY_H_
