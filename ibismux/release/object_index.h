#ifndef IBISMUX_RELEASE_OBJECT_INDEX_H_
#define IBISMUX_RELEASE_OBJECT_INDEX_H_

#include <array>
#include <string_view>
#include <unordered_map>

#include "ibismux/release/object_set.h"

namespace ibismux::release {

/// Finds objects by name; much faster than the ordered set where each of many
/// objects names others. Reading is thread safe.
class ObjectIndex {
 public:
  /// @param objects Outlives this, unchanged.
  explicit ObjectIndex(const ObjectSet& objects) {
    for (const auto& [key, object] : objects) {
      this->by_name[static_cast<std::size_t>(key.kind)].emplace(
          key.name, object.spec.get());
    }
  }

  /// The object of `T`'s kind named `name`, or null.
  template <class T>
  [[nodiscard]] const T* find(ObjectKind kind, std::string_view name) const {
    const ObjectSpec* spec = this->find(kind, name);
    return spec == nullptr ? nullptr : std::get_if<T>(spec);
  }

  [[nodiscard]] bool contains(ObjectKind kind, std::string_view name) const {
    return this->find(kind, name) != nullptr;
  }

 private:
  [[nodiscard]] const ObjectSpec* find(ObjectKind kind,
                                       std::string_view name) const {
    const auto& names = this->by_name[static_cast<std::size_t>(kind)];
    const auto found = names.find(name);
    return found == names.end() ? nullptr : found->second;
  }

  std::array<std::unordered_map<std::string_view, const ObjectSpec*>,
             kObjectKinds>
      by_name;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_OBJECT_INDEX_H_
