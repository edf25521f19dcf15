#include "ibismux/dispatch/service_group.h"

#include <algorithm>
#include <map>

#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch::testing {
namespace {

// Guards against a fleet of daemons that make one call a minute each, and all
// of them at the same few leafs.
Test(first_choice, daemons_that_know_no_leaf_use_all_of_them) {
  constexpr int kLeafs = 75;
  constexpr int kDaemons = 986;
  DispatchFixture fixture;
  std::vector<std::shared_ptr<Leaf>> leafs;
  for (int i = 0; i < kLeafs; ++i) {
    directory::LeafEntry entry;
    entry.run.id = "i-" + std::to_string(i);
    entry.service = "page";
    entry.zone = "z" + std::to_string(i % 3);
    entry.slots = 4;
    leafs.push_back(std::make_shared<Leaf>(fixture.loop, fixture.leafs,
                                           fixture.log, fixture.settings.policy,
                                           entry, [] {}));
    leafs.back()->grant_links({});
  }
  std::map<std::string, int> calls;
  for (int i = 0; i < kDaemons; ++i) {
    DispatchSettings settings;
    settings.member = "h" + std::to_string(i);
    settings.zone = "z" + std::to_string(i % 3);
    ServiceGroup group("page", settings, 10);
    for (const auto& leaf : leafs) {
      group.add(leaf);
    }
    SelectionCriteria criteria;
    criteria.typical_latency = std::chrono::milliseconds(10);
    criteria.objective = std::chrono::milliseconds(100);
    const auto chosen = group.choose(criteria, Clock::now());
    cr_assert(chosen->entry().zone == settings.zone);
    ++calls[chosen->entry().run.id];
  }
  cr_assert(calls.size() == kLeafs);
  for (const auto& [leaf, count] : calls) {
    cr_assert(count <= 3 * kDaemons / kLeafs, "%s: %d", leaf.c_str(), count);
  }
}

}  // namespace
}  // namespace ibismux::dispatch::testing
