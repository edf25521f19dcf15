#ifndef IBISMUX_ADMISSION_POOL_FINDER_H_
#define IBISMUX_ADMISSION_POOL_FINDER_H_

#include <cstdint>
#include <map>
#include <string>

#include "ibismux/release/forward.h"

namespace ibismux::admission {

/// The services that reach the same leafs, directly or through others, load one
/// another and go under one limit; those that don't must not shed each other.
struct LoadGroup {
  std::string name;  ///< Of its first service in order of names.
  std::uint32_t slots =
      0;  ///< That the tightest shard of its widest service has.
};

/// The group of each service, by the service's name.
[[nodiscard]] std::map<std::string, LoadGroup> find_load_groups(
    const release::Release& release);

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_POOL_FINDER_H_
