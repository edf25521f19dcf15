#include "ibismux/edge/contact_slots.h"

#include <criterion/criterion.h>

#include <set>

namespace ibismux::edge {
namespace {

membership::MembershipView fleet(int self, int hosts) {
  membership::MembershipView view;
  view.self = "h" + std::to_string(self);
  for (int i = 0; i < hosts; ++i) {
    view.members.push_back({"h" + std::to_string(i), 1, "10.0.0.1", 1, "z"});
  }
  return view;
}

Test(contact_slots, each_slot_has_one_daemon_for_any_fleet_size) {
  for (const int hosts : {7, 91, 500}) {
    std::multiset<std::size_t> taken;
    for (int i = 0; i < hosts; ++i) {
      if (const auto slot = slot_of(fleet(i, hosts))) {
        taken.insert(*slot);
      }
    }
    cr_assert(taken.size() == kContactSlots);
    for (std::size_t slot = 0; slot < kContactSlots; ++slot) {
      cr_assert(taken.count(slot) == 1);
    }
  }
}

Test(contact_slots, a_daemon_that_knows_no_other_has_a_slot) {
  cr_assert(slot_of(fleet(0, 1)).has_value());
}

Test(contact_slots, failed_members_occupy_no_slot) {
  auto view = fleet(0, 20);
  for (auto& member : view.members) {
    if (member.name != "h0") {
      member.state = membership::Member::State::kFailed;
    }
  }
  cr_assert(slot_of(view).has_value());
}

}  // namespace
}  // namespace ibismux::edge
