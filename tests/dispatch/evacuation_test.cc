#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch::testing {
namespace {

std::size_t runs_in_own_zone(const DispatchFixture& fixture) {
  std::size_t runs = 0;
  for (const auto& [leaf, ids] : fixture.leafs.runs) {
    runs += leaf.ends_with("-0") ? ids.size() : 0;
  }
  return runs;
}

Test(evacuation, leafs_of_an_evacuated_zone_get_no_calls) {
  DispatchFixture fixture;
  cr_assert(fixture.run_many("/query/", 3) == 3);
  const std::size_t before = runs_in_own_zone(fixture);
  cr_assert(before > 0);
  fixture.dispatcher.set_evacuated({"z0"});
  cr_assert(fixture.run_many("/query/", 10) == 10);
  cr_assert(fixture.run_many("/order/", 10) == 10);
  cr_assert(runs_in_own_zone(fixture) == before);
}

Test(evacuation, a_leaf_added_to_an_evacuated_zone_gets_no_calls) {
  DispatchFixture fixture;
  fixture.dispatcher.set_evacuated({"z0"});
  directory::LeafEntry entry;
  entry.run.id = "desk-new-0";
  entry.service = "desk";
  entry.zone = "z0";
  entry.slots = 4;
  fixture.dispatcher.on_leaf_updated(entry);
  cr_assert(fixture.run_many("/page/", 10) == 10);
  cr_assert(runs_in_own_zone(fixture) == 0);
}

Test(evacuation, calls_in_progress_end_at_their_leaf) {
  DispatchFixture fixture;
  fixture.leafs.behaviour["desk-0"].work = std::chrono::milliseconds(20);
  fixture.begin("o1", "/order/");
  cr_assert(
      fixture.run_until([&] { return fixture.leafs.times_run("o1") == 1; }));
  fixture.dispatcher.set_evacuated({"z0"});
  cr_assert(fixture.run_until([&] { return fixture.outcomes.contains("o1"); }));
  cr_assert(fixture.outcomes.at("o1").has_value());
  cr_assert(fixture.leafs.times_run("o1") == 1);
}

Test(evacuation, requests_are_refused_at_once_if_all_zones_are_evacuated) {
  DispatchFixture fixture;
  fixture.dispatcher.set_evacuated({"z0", "z1", "z2"});
  for (const char* path : {"/query/", "/page/", "/order/"}) {
    const Outcome& outcome = fixture.run(path, path);
    cr_assert(!outcome.has_value());
    cr_assert(outcome.error().execution == Execution::kNotRun);
    cr_assert(outcome.error().retry_after.has_value());
  }
  cr_assert(fixture.leafs.runs.empty());
}

Test(evacuation, traffic_returns_when_the_evacuation_ends) {
  DispatchFixture fixture;
  fixture.dispatcher.set_evacuated({"z0"});
  cr_assert(fixture.run_many("/page/", 3) == 3);
  fixture.dispatcher.set_evacuated({});
  cr_assert(fixture.run_many("/page/", 3) == 3);
  cr_assert(runs_in_own_zone(fixture) == 3);
}

Test(evacuation, a_leaf_replaced_during_the_evacuation_keeps_no_links) {
  DispatchFixture fixture;
  fixture.leafs.behaviour["desk-0"].replaced = true;
  cr_assert(fixture.run_many("/page/", 1) == 1);
  fixture.dispatcher.set_evacuated({"z0"});
  fixture.dispatcher.set_evacuated({});
  const int dials = fixture.leafs.dials["desk-0"];
  cr_assert(fixture.run_many("/page/", 5) == 5);
  cr_assert(fixture.leafs.dials["desk-0"] == dials);
}

// Guards against links to the remaining replicas being withheld while one
// replica is evacuated.
Test(evacuation, other_replicas_take_the_links_of_an_evacuated_one) {
  DispatchFixture fixture;
  LinkSharers fleet;
  fleet.hosts = 60;
  fleet.hosts_by_zone = {{"z0", 20}, {"z1", 20}, {"z2", 20}};
  fixture.dispatcher.set_fleet(fleet);
  fixture.dispatcher.set_evacuated({"z0"});
  cr_assert(fixture.run_many("/page/", 2) == 2);
  int dials = 0;
  for (const auto& [leaf, count] : fixture.leafs.dials) {
    dials += leaf.starts_with("desk") && !leaf.ends_with("-0") ? count : 0;
  }
  cr_assert(dials == 1, "%d", dials);
}

}  // namespace
}  // namespace ibismux::dispatch::testing
