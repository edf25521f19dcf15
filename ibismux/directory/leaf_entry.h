#ifndef IBISMUX_DIRECTORY_LEAF_ENTRY_H_
#define IBISMUX_DIRECTORY_LEAF_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace ibismux::directory {

/// What one run of a leaf says of itself.
struct LeafEntry {
  std::string instance;  ///< Names this run of the leaf, and no later one.
  std::string service;
  std::string address;  ///< IP number.
  std::uint16_t port = 0;
  std::string zone;
  std::uint32_t slots = 1;  ///< Requests that it works on at once.
  bool draining = false;
  /// How much longer the leaf is slow after its start.
  std::chrono::milliseconds warmup_left{0};

  [[nodiscard]] bool operator==(const LeafEntry&) const = default;
};

}  // namespace ibismux::directory

#endif  // IBISMUX_DIRECTORY_LEAF_ENTRY_H_
