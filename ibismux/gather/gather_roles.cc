#include "ibismux/gather/gather_roles.h"

#include <algorithm>

#include "ibismux/membership/membership_view.h"
#include "ibismux/membership/wide_links.h"

namespace ibismux::gather {

GatherRoles assign_roles(const membership::MembershipView& view) {
  const auto wide = membership::wide_links(view);
  GatherRoles roles;
  roles.gatherers = wide.size();
  roles.gathers = wide.contains(view.self);
  const auto own = std::find_if(
      view.members.begin(), view.members.end(),
      [&view](const auto& member) { return member.name == view.self; });
  if (!roles.gathers || own == view.members.end()) {
    return roles;
  }
  for (const membership::Member& member : view.members) {
    if (member.zone == own->zone && member.serves() && member.link_mbps > 0 &&
        !wide.contains(member.name)) {
      roles.served.push_back(member.name);
    }
  }
  return roles;
}

}  // namespace ibismux::gather
