#ifndef IBISMUX_GATHER_GATHER_ROLES_H_
#define IBISMUX_GATHER_GATHER_ROLES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "ibismux/membership/forward.h"

namespace ibismux::gather {

/// This daemon's part in gathering queries for other daemons.
struct GatherRoles {
  /// Whether this daemon gathers queries for the members in `served`.
  bool gathers = false;
  /// Members of its zone that have narrower network links.
  std::vector<std::string> served;
  /// Members of other zones that gather, with links much wider than this
  /// daemon's, which it may ask for offers; empty if it gathers itself or
  /// doesn't report the bandwidth of its link.
  std::vector<std::string> distant_gatherers;
  /// Number of daemons, in all zones, that gather for others.
  std::size_t gatherers = 0;
};

/// Derives the roles from a membership view: in each zone, members with wide
/// links (see `membership::wide_links`) gather for those other serving members
/// that report the bandwidth of their links, and for those of other zones that
/// ask. Thread safe.
[[nodiscard]] GatherRoles assign_roles(const membership::MembershipView& view);

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_GATHER_ROLES_H_
