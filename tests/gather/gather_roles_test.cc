#include "ibismux/gather/gather_roles.h"

#include "ibismux/membership/membership_view.h"

#include <criterion/criterion.h>

namespace ibismux::gather::testing {
namespace {

membership::MembershipView view_of(const std::string& self) {
  membership::MembershipView view;
  view.self = self;
  for (int i = 0; i < 8; ++i) {
    membership::Member member;
    member.name = "h" + std::to_string(i);
    member.zone = i < 4 ? "z1" : "z2";
    member.link_mbps = i == 0 || i == 4 ? 140 : 14;
    view.members.push_back(member);
  }
  return view;
}

Test(gather_roles, a_host_with_a_wide_link_serves_the_others_of_its_zone) {
  const GatherRoles roles = assign_roles(view_of("h4"));
  cr_assert(roles.gathers);
  cr_assert(roles.gatherers == 2);
  cr_assert(roles.served == std::vector<std::string>({"h5", "h6", "h7"}));
}

Test(gather_roles, a_host_with_a_narrow_link_serves_no_others) {
  const GatherRoles roles = assign_roles(view_of("h1"));
  cr_assert(!roles.gathers);
  cr_assert(roles.gatherers == 2);
  cr_assert(roles.served.empty());
  cr_assert(roles.distant_gatherers == std::vector<std::string>({"h4"}));
}

// Guards against gatherers that hand the queries of their zone on.
Test(gather_roles, a_gatherer_asks_no_others) {
  cr_assert(assign_roles(view_of("h0")).distant_gatherers.empty());
}

Test(gather_roles, hosts_with_equal_links_have_no_roles) {
  membership::MembershipView view = view_of("h4");
  for (membership::Member& member : view.members) {
    member.link_mbps = 1000;
  }
  const GatherRoles roles = assign_roles(view);
  cr_assert(!roles.gathers);
  cr_assert(roles.gatherers == 0);
}

}  // namespace
}  // namespace ibismux::gather::testing
