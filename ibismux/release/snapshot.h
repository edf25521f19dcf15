#ifndef IBISMUX_RELEASE_SNAPSHOT_H_
#define IBISMUX_RELEASE_SNAPSHOT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace ibismux::release {

/// Object kind `snapshot`: one version of a service's index, and with it the
/// partition of the key space that it was built for.
struct Snapshot {
  std::string name;
  std::string service;
  std::uint64_t sequence = 0;       ///< A higher one is newer.
  std::vector<std::string> shards;  ///< Names; they cover the whole key space.
  bool servable = true;             ///< Leafs have loaded it.

  [[nodiscard]] bool operator==(const Snapshot&) const = default;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_SNAPSHOT_H_
