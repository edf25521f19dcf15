#include <map>
#include <set>

#include "ibismux/gateway/connection_share.h"
#include "ibismux/gateway/ownership_strategy.h"
#include "ibismux/gateway/ownership_table.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/release/release.h"

#include <criterion/criterion.h>

namespace ibismux::gateway {
namespace {

membership::MembershipView view_of(int members, int zones) {
  membership::MembershipView view;
  view.self = "host0";
  for (int i = 0; i < members; ++i) {
    membership::Member member;
    member.name = "host" + std::to_string(i);
    member.zone = "zone" + std::to_string(i % zones);
    view.members.push_back(member);
  }
  return view;
}

release::Release release_of(int leafs, int zones, std::uint32_t connections) {
  release::Release release;
  for (int i = 0; i < leafs; ++i) {
    release::BackendServer leaf;
    leaf.name = "leaf" + std::to_string(i);
    leaf.zone = "zone" + std::to_string(i % zones);
    leaf.connections = connections;
    release.leafs.push_back(leaf);
  }
  return release;
}

std::string zone_of(const membership::MembershipView& view,
                    const LeafOwner& owner) {
  return view.members[owner.member].zone;
}

}  // namespace

Test(ownership, first_owner_is_of_the_leafs_zone) {
  const auto view = view_of(7, 3);
  const auto release = release_of(60, 3, 25);
  const auto table = make_ownership("gateway")->assign(release, view);
  for (const release::BackendServer& leaf : release.leafs) {
    const auto owners = table->owners_of(leaf.name);
    cr_assert(owners.size() == kRanks);
    cr_assert(zone_of(view, owners[0]) == leaf.zone);
    std::set<std::uint32_t> distinct;
    for (const LeafOwner& owner : owners) {
      distinct.insert(owner.member);
    }
    cr_assert(distinct.size() == kRanks);
  }
}

Test(ownership, zone_without_members_falls_to_the_others) {
  const auto table =
      make_ownership("gateway")->assign(release_of(9, 3, 25), view_of(2, 2));
  cr_assert(table->owners_of("leaf2").size() == 2);
  cr_assert(table->owners_of("unknown").empty());
}

Test(ownership, member_that_leaves_owns_nothing) {
  auto view = view_of(7, 3);
  view.members[3].state = membership::Member::State::kLeaving;
  const auto table =
      make_ownership("gateway")->assign(release_of(60, 3, 25), view);
  for (const LeafOwner& owner : table->owners) {
    cr_assert(owner.member != 3);
  }
}

// Failure: a leaf refuses connections although each daemon keeps its share.
Test(ownership, paused_member_and_its_replacement_stay_within_the_limit) {
  const auto before = view_of(7, 1);
  for (const std::uint32_t limit : {4U, 25U, 40U, 100U}) {
    const auto release = release_of(40, 1, limit);
    const auto strategy = make_ownership("gateway");
    const auto old_table = strategy->assign(release, before);
    for (std::uint32_t paused = 0; paused < 7; ++paused) {
      auto after = before;
      after.members[paused].state = membership::Member::State::kFailed;
      after.members.push_back({"replacement", 1, "", 0, "zone0", {}});
      const auto new_table = strategy->assign(release, after);
      for (const release::BackendServer& leaf : release.leafs) {
        std::uint32_t held = 0;
        for (const LeafOwner& owner : old_table->owners_of(leaf.name)) {
          held += owner.member == paused ? owner.connections : 0;
        }
        for (const LeafOwner& owner : new_table->owners_of(leaf.name)) {
          held += owner.connections;
        }
        cr_assert(held <= limit);
      }
    }
  }
}

Test(ownership, direct_gives_each_member_its_part) {
  const auto table =
      make_ownership("direct")->assign(release_of(5, 1, 25), view_of(7, 1));
  const auto owners = table->owners_of("leaf0");
  cr_assert(owners.size() == 1);
  cr_assert(table->member_of(owners[0]) == "host0");
  cr_assert(owners[0].connections == 3);
  // More members than connections: nobody can reach the leaf.
  const auto none =
      make_ownership("direct")->assign(release_of(5, 1, 25), view_of(30, 1));
  cr_assert(none->owners_of("leaf0").empty());
}

Test(ownership, unknown_strategy_is_refused) {
  cr_assert(make_ownership("nearest") == nullptr);
}

}  // namespace ibismux::gateway
