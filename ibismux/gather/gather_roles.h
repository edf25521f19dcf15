#ifndef IBISMUX_GATHER_GATHER_ROLES_H_
#define IBISMUX_GATHER_GATHER_ROLES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "ibismux/membership/forward.h"

namespace ibismux::gather {

/// Which daemons gather queries for others.
struct GatherRoles {
  /// This daemon gathers for `served`, the weaker ones of its zone.
  bool gathers = false;
  std::vector<std::string> served;
  /// Daemons of all zones that gather for others.
  std::size_t gatherers = 0;
};

/// Reads the roles out of a view: in each zone, members with wide links (see
/// `membership::wide_links`) gather for the others that say how wide theirs
/// are. Thread safe.
[[nodiscard]] GatherRoles assign_roles(const membership::MembershipView& view);

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_GATHER_ROLES_H_
