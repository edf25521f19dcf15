#ifndef IBISMUX_BASE_PRIORITY_H_
#define IBISMUX_BASE_PRIORITY_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace ibismux {

/// Priority class of a request; a lower value goes first, the highest value is
/// shed first.
enum class Priority : unsigned char {
  kDiagnostic,
  kBench,
  kCatalogue,  ///< Counter look-ups and catalogue searches.
  kEditor,
};

inline constexpr std::size_t kPriorities = 4;

[[nodiscard]] constexpr std::string_view to_string(Priority priority) noexcept {
  constexpr std::string_view kNames[kPriorities] = {"diagnostic", "bench",
                                                    "catalogue", "editor"};
  return kNames[static_cast<std::size_t>(priority)];
}

[[nodiscard]] constexpr std::optional<Priority> priority_of(
    std::string_view name) noexcept {
  for (std::size_t i = 0; i < kPriorities; ++i) {
    if (to_string(static_cast<Priority>(i)) == name) {
      return static_cast<Priority>(i);
    }
  }
  return std::nullopt;
}

}  // namespace ibismux

#endif  // IBISMUX_BASE_PRIORITY_H_
