#ifndef IBISMUX_DIRECTORY_REFUSED_ENTRY_H_
#define IBISMUX_DIRECTORY_REFUSED_ENTRY_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace ibismux::directory {

/// Why an entry of the registry doesn't describe a usable leaf.
enum class EntryFault : unsigned char {
  kUnreadable,  ///< Can't be parsed, or is no JSON object.
  kField,       ///< A field is missing, mistyped or out of range.
  kAddress,     ///< The address is not an IP address with a port.
  kState,       ///< The state is unknown.
};

/// Number of values of `EntryFault`.
inline constexpr std::size_t kEntryFaultCount = 4;

/// Stable name in snake case, used as a metric label. Thread safe.
[[nodiscard]] constexpr std::string_view to_string(EntryFault fault) noexcept {
  constexpr std::string_view kNames[kEntryFaultCount] = {"unreadable", "field",
                                                         "address", "state"};
  return kNames[static_cast<std::size_t>(fault)];
}

/// A registry entry that another writer wrote or that was damaged.
struct RefusedEntry {
  EntryFault fault = EntryFault::kUnreadable;
  std::string message;  ///< Names the field and the error in it.
};

}  // namespace ibismux::directory

#endif  // IBISMUX_DIRECTORY_REFUSED_ENTRY_H_
