#include "ibismux/release/object_key.h"

#include <algorithm>

namespace ibismux::release {
namespace {

constexpr std::size_t kMostNameBytes = 128;

bool is_name_character(char c) noexcept {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

}  // namespace

std::optional<ObjectKind> object_kind_of(std::string_view name) noexcept {
  for (std::size_t i = 0; i < kObjectKinds; ++i) {
    if (kObjectKindNames[i] == name) {
      return static_cast<ObjectKind>(i);
    }
  }
  return std::nullopt;
}

std::string to_string(const ObjectKey& key) {
  return std::string(to_string(key.kind)) + ":" + key.name;
}

std::optional<ObjectKey> object_key_of(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<ObjectKind> kind = object_kind_of(text.substr(0, colon));
  const std::string_view name = text.substr(colon + 1);
  if (!kind || !is_object_name(name)) {
    return std::nullopt;
  }
  return ObjectKey{*kind, std::string(name)};
}

bool is_object_name(std::string_view name) noexcept {
  return !name.empty() && name.size() <= kMostNameBytes &&
         std::all_of(name.begin(), name.end(), is_name_character);
}

}  // namespace ibismux::release
