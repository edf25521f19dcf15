#include "ibismux/membership/wide_links.h"

#include "ibismux/membership/membership_view.h"
#include "ibismux/membership/spread_tree.h"

#include <criterion/criterion.h>

namespace ibismux::membership::testing {
namespace {

using Names = std::set<std::string, std::less<>>;

Member member(const std::string& name, double link, Member::State state = {}) {
  Member made;
  made.name = name;
  made.zone = "z";
  made.link_mbps = link;
  made.state = state;
  return made;
}

MembershipView view_of(std::vector<Member> members) {
  MembershipView view;
  view.self = members.front().name;
  view.members = std::move(members);
  return view;
}

Test(wide_links, are_those_far_above_the_median_of_their_zone) {
  const auto view = view_of({member("a", 14), member("b", 14), member("c", 140),
                             member("d", 14), member("e", 28)});
  cr_assert(wide_links(view) == Names({"c"}));
}

Test(wide_links, a_fleet_of_equal_hosts_has_none) {
  cr_assert(
      wide_links(view_of({member("a", 1000), member("b", 1000)})).empty());
  cr_assert(wide_links(view_of({member("a", 1000)})).empty());
}

Test(wide_links, hosts_that_do_not_say_are_left_out) {
  const auto view = view_of({member("a", 0), member("b", 0), member("c", 140)});
  cr_assert(wide_links(view).empty());
}

Test(wide_links, a_host_that_leaves_is_none) {
  const auto view = view_of({member("a", 14), member("b", 14), member("d", 14),
                             member("c", 140, Member::State::kLeaving)});
  cr_assert(wide_links(view).empty());
}

Test(wide_links, each_zone_has_its_own_median) {
  auto members =
      std::vector{member("a", 14),  member("b", 14),  member("c", 140),
                  member("x", 140), member("y", 140), member("z", 140)};
  for (std::size_t i = 3; i < members.size(); ++i) {
    members[i].zone = "other";
  }
  cr_assert(wide_links(view_of(members)) == Names({"c"}));
}

// Failure: a watcher's narrow link is full with one update for its zone.
Test(wide_links, a_host_with_a_wide_link_is_the_first_of_its_zone) {
  std::vector<Member> members;
  for (int i = 0; i < 24; ++i) {
    members.push_back(member("h" + std::to_string(i), 14));
  }
  members.push_back(member("wide", 140));
  SpreadTree tree(1, 32);
  tree.rebuild(view_of(members));
  cr_assert(tree.roots() == std::vector<std::string>({"wide"}));
}

}  // namespace
}  // namespace ibismux::membership::testing
