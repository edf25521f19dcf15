#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch::testing {
namespace {

using std::chrono::milliseconds;

/// Zones z0 and z1 lie in two regions; that of z2 isn't known.
struct RegionFixture : DispatchFixture {
  explicit RegionFixture(std::vector<std::string> allowed) {
    this->settings.zone_regions = {{"z0", "south"}, {"z1", "north"}};
    this->dispatcher.update_settings(this->settings);
    this->allowed_regions = std::move(allowed);
    this->configure(2);
  }

  /// Whether each run was in one of `zones`.
  [[nodiscard]] bool ran_only_in(const ZoneNames& zones) const {
    return std::all_of(
        this->leafs.runs.begin(), this->leafs.runs.end(),
        [&zones](const auto& row) {
          return zones.contains("z" + row.first.substr(row.first.size() - 1));
        });
  }
};

// Guards against requests that leave the regions they are bound to.
Test(allowed_regions, requests_stay_in_them) {
  RegionFixture fixture({"north"});
  for (const char* path : {"/query/", "/page/", "/order/"}) {
    cr_assert(fixture.run_many(path, 10) == 10);
  }
  cr_assert(fixture.ran_only_in({"z1"}));
}

Test(allowed_regions, a_zone_whose_region_is_not_known_gets_nothing) {
  RegionFixture fixture({"north", "south", ""});
  cr_assert(fixture.run_many("/page/", 20) == 20);
  cr_assert(fixture.ran_only_in({"z0", "z1"}));
}

Test(allowed_regions, without_them_all_zones_serve) {
  RegionFixture fixture({});
  fixture.leafs.behaviour["desk-0"].refuses_dials = true;
  fixture.leafs.behaviour["desk-1"].refuses_dials = true;
  cr_assert(fixture.run_many("/page/", 10) == 10);
  cr_assert(fixture.ran_only_in({"z2"}));
}

// Guards against hedges and retries that leave the regions.
Test(allowed_regions, hedges_and_retries_stay_in_them) {
  RegionFixture fixture({"north"});
  fixture.caller_timeout = milliseconds(100);
  fixture.leafs.behaviour["desk-1"].silent = true;
  cr_assert(fixture.run_many("/page/", 2) == 0);
  fixture.leafs.behaviour["desk-1"] = {.fails = true};
  fixture.run_many("/page/", 5);
  fixture.leafs.behaviour["desk-1"] = {.sheds = true};
  fixture.run_many("/order/", 5);
  cr_assert(fixture.ran_only_in({"z1"}));
}

// Guards against requests that wait in vain for leafs of other regions.
Test(allowed_regions, with_no_leaf_left_there_requests_are_refused_at_once) {
  RegionFixture evacuated({"north"});
  evacuated.dispatcher.set_evacuated({"z1"});
  RegionFixture unknown({"west"});
  for (RegionFixture* fixture : {&evacuated, &unknown}) {
    for (const char* path : {"/query/", "/page/", "/order/"}) {
      const Outcome& outcome = fixture->run(path, path);
      cr_assert(!outcome.has_value());
      cr_assert(outcome.error().execution == Execution::kNotRun);
      cr_assert(outcome.error().retry_after.has_value());
    }
    cr_assert(fixture->leafs.runs.empty());
  }
}

Test(allowed_regions, zones_that_are_named_later_serve_from_then_on) {
  RegionFixture fixture({"west"});
  cr_assert(fixture.run_many("/page/", 1) == 0);
  fixture.settings.zone_regions["z2"] = "west";
  fixture.dispatcher.update_settings(fixture.settings);
  cr_assert(fixture.run_many("/page/", 5) == 5);
  cr_assert(fixture.ran_only_in({"z2"}));
}

// Guards against calls that start elsewhere once a leaf there has room.
Test(allowed_regions, a_call_that_waits_for_room_stays_in_them) {
  RegionFixture fixture({"north"});
  fixture.leafs.behaviour["desk-1"].work = milliseconds(2);
  for (int i = 0; i < 60; ++i) {
    fixture.begin("w" + std::to_string(i), "/page/");
  }
  cr_assert(fixture.run_until([&] { return fixture.outcomes.size() == 60; }));
  cr_assert(fixture.ran_only_in({"z1"}));
}

}  // namespace
}  // namespace ibismux::dispatch::testing
