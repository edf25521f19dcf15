#include "ibismux/customers/owner_selector.h"

#include <algorithm>
#include <set>

#include "ibismux/customers/rate_parts.h"

#include <criterion/criterion.h>

namespace ibismux::customers::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

struct Fixture {
  TimePoint now = Clock::now();
  OwnerSelector selector;
  std::vector<OwnerSelector::Candidate> members;

  explicit Fixture(std::size_t hosts, std::size_t zones = 3) {
    for (std::size_t i = 0; i < hosts; ++i) {
      this->members.push_back(
          {"h" + std::to_string(i), "z" + std::to_string(i % zones)});
    }
    this->update();
  }
  bool update() {
    return this->selector.on_members(this->members, this->members.size(),
                                     this->now);
  }
  /// A daemon that no other one has reached yet, or that is cut off.
  bool keep_only(const std::string& name, std::size_t fleet_size) {
    std::erase_if(this->members,
                  [&](const auto& member) { return member.name != name; });
    return this->selector.on_members(this->members, fleet_size, this->now);
  }
};

Test(owner_selector, owners_are_in_different_zones) {
  Fixture fixture(74);
  for (int i = 0; i < 50; ++i) {
    const auto owners = fixture.selector.owners("c" + std::to_string(i));
    std::set<std::string> zones;
    for (const std::string& owner : owners) {
      zones.insert(fixture.selector.zone_of(owner));
    }
    cr_assert(owners.size() == kOwners && zones.size() == kOwners);
  }
}

Test(owner_selector, small_fleets_have_fewer_owners) {
  cr_assert(Fixture(1).selector.owners("c").size() == 1);
  cr_assert(Fixture(2).selector.owners("c").size() == 2);
  cr_assert(Fixture(9, 1).selector.owners("c").size() == kOwners);
}

Test(owner_selector, limits_are_spread_over_a_thousand_daemons) {
  Fixture fixture(1000, 5);
  std::map<std::string, int> parts;
  for (int i = 0; i < 10'000; ++i) {
    for (const auto& owner : fixture.selector.owners("c" + std::to_string(i))) {
      ++parts[owner];
    }
  }
  for (const auto& [owner, count] : parts) {
    cr_assert(count < 90, "%s owns %d of 30,000 parts", owner.c_str(), count);
  }
}

// Guards against a second owner of a part while the first one, which is only
// cut off from this daemon, still grants requests to others.
Test(owner_selector, an_unreachable_owner_keeps_its_parts_for_a_while) {
  Fixture fixture(9);
  const auto before = fixture.selector.owners("c");
  std::erase_if(fixture.members, [&](const auto& member) {
    return member.name == before.front();
  });
  cr_assert(!fixture.selector.on_members(fixture.members, 9, fixture.now));
  cr_assert(fixture.selector.owners("c") == before);
  fixture.now += OwnerSelector::kRetention + seconds(1);
  cr_assert(fixture.selector.on_members(fixture.members, 9, fixture.now));
  cr_assert(fixture.selector.owners("c") != before);
}

Test(owner_selector, a_leaving_owner_loses_its_parts_at_once) {
  Fixture fixture(9);
  const std::string leaving = fixture.selector.owners("c").front();
  for (auto& member : fixture.members) {
    member.leaving = member.name == leaving;
  }
  cr_assert(fixture.update());
  cr_assert(!fixture.selector.is_owner(leaving, "c"));
}

// Guards against a cut-off daemon that grants itself whole limits.
Test(owner_selector, nobody_owns_anything_without_a_majority) {
  Fixture fixture(9);
  cr_assert(fixture.keep_only("h0", 9));
  cr_assert(fixture.selector.owners("c").empty());
  fixture.now += minutes(2);
  cr_assert(!fixture.selector.on_members(fixture.members, 1, fixture.now) ||
            fixture.selector.owners("c").empty());
  cr_assert(fixture.selector.owners("c").empty());
}

Test(owner_selector, ownership_counts_from_the_last_interruption) {
  Fixture fixture(3);
  const TimePoint start = fixture.now;
  cr_assert(fixture.selector.owner_since("h0", "c") == start);
  fixture.now += seconds(5);
  fixture.members.push_back({"h3", "z0"});
  cr_assert(fixture.update());
  for (const auto& owner : fixture.selector.owners("c")) {
    const TimePoint since = fixture.selector.owner_since(owner, "c");
    cr_assert(since == (owner == "h3" ? fixture.now : start));
  }
}

// Guards against buckets that are taken for empty because hosts come one after
// the other, as after an outage of a whole fleet.
Test(owner_selector, ownership_counts_over_many_changes_of_the_members) {
  Fixture fixture(74);
  const TimePoint start = fixture.now;
  std::set<std::string> lasting;
  for (const auto& owner : fixture.selector.owners("c")) {
    lasting.insert(owner);
  }
  for (int i = 74; i < 170; ++i) {
    fixture.now += std::chrono::milliseconds(500);
    fixture.members.push_back(
        {"h" + std::to_string(i), "z" + std::to_string(i % 3)});
    cr_assert(fixture.update());
    const auto owners = fixture.selector.owners("c");
    std::erase_if(lasting, [&](const std::string& owner) {
      return std::find(owners.begin(), owners.end(), owner) == owners.end();
    });
  }
  cr_assert(!lasting.empty());
  for (const std::string& owner : lasting) {
    cr_assert(fixture.selector.owner_since(owner, "c") == start);
  }
}

Test(owner_selector, a_member_that_moves_to_another_zone_is_another_member) {
  Fixture fixture(9);
  const std::string owner = fixture.selector.owners("c").front();
  for (auto& member : fixture.members) {
    member.zone = member.name == owner ? "z9" : member.zone;
  }
  fixture.now += seconds(5);
  cr_assert(fixture.update());
  cr_assert(fixture.selector.zone_of(owner) == "z9");
  cr_assert(fixture.selector.is_owner(owner, "c"));
}

}  // namespace
}  // namespace ibismux::customers::testing
