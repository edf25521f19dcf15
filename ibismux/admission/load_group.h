#ifndef IBISMUX_ADMISSION_LOAD_GROUP_H_
#define IBISMUX_ADMISSION_LOAD_GROUP_H_

#include <cstdint>
#include <map>
#include <string>

#include "ibismux/release/forward.h"

namespace ibismux::admission {

/// Services that share leafs, directly or through other services, compete for
/// capacity and are limited together. Services that share none are limited
/// separately, so that load on one doesn't shed requests of another.
struct LoadGroup {
  std::string name;  ///< The alphabetically first service of the group.
  /// Each service's capacity is that of its shard with the fewest slots; this
  /// is the highest capacity of the group's services.
  std::uint32_t slots = 0;
};

/// Maps each service's name to its group.
[[nodiscard]] std::map<std::string, LoadGroup> find_load_groups(
    const release::Release& release);

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_LOAD_GROUP_H_
