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
  if (own == view.members.end() || own->link_mbps <= 0) {
    return roles;
  }
  for (const membership::Member& member : view.members) {
    const bool is_wide = wide.contains(member.name);
    const bool is_near = member.zone == own->zone;
    if (roles.gathers && is_near && !is_wide && member.serves() &&
        member.link_mbps > 0) {
      roles.served.push_back(member.name);
    }
    if (!roles.gathers && !is_near && is_wide &&
        member.link_mbps >= own->link_mbps * membership::kWideLinkRatio) {
      roles.distant_gatherers.push_back(member.name);
    }
  }
  return roles;
}

}  // namespace ibismux::gather
