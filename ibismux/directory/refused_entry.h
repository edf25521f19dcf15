#ifndef IBISMUX_DIRECTORY_REFUSED_ENTRY_H_
#define IBISMUX_DIRECTORY_REFUSED_ENTRY_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace ibismux::directory {

/// The closed list of why an entry of the registry names no leaf to use.
enum class EntryFault : unsigned char {
  kUnreadable,  ///< No object, or bytes that can't be parsed.
  kField,       ///< A field is missing, of another type or out of its range.
  kAddress,     ///< The address is no IP number with a port.
  kState,       ///< A state that leafs don't have.
};

/// How many faults there are.
inline constexpr std::size_t kEntryFaults = 4;

/// Stable, snake case; the label of a metric. Thread safe.
[[nodiscard]] constexpr std::string_view to_string(EntryFault fault) noexcept {
  constexpr std::string_view kNames[kEntryFaults] = {"unreadable", "field",
                                                     "address", "state"};
  return kNames[static_cast<std::size_t>(fault)];
}

/// An entry that another writer left, or that was damaged.
struct RefusedEntry {
  EntryFault fault = EntryFault::kUnreadable;
  std::string message;  ///< Names the field and what is wrong with it.
};

}  // namespace ibismux::directory

#endif  // IBISMUX_DIRECTORY_REFUSED_ENTRY_H_
