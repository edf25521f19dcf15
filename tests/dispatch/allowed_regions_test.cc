#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch::testing {
namespace {

using std::chrono::milliseconds;

/// Zones z0 and z1 lie in two regions; the region of z2 is unknown.
struct RegionFixture : DispatchFixture {
  explicit RegionFixture(std::vector<std::string> allowed) {
    this->settings.zone_regions = {{"z0", "south"}, {"z1", "north"}};
    this->dispatcher.update_settings(this->settings);
    this->allowed_regions = std::move(allowed);
    this->configure(2);
  }

  /// Returns whether all runs were in `zones`.
  [[nodiscard]] bool ran_only_in(const ZoneNames& zones) const {
    return std::all_of(
        this->leafs.runs.begin(), this->leafs.runs.end(),
        [&zones](const auto& row) {
          return zones.contains("z" + row.first.substr(row.first.size() - 1));
        });
  }
};

// Guards against requests sent to leafs outside their allowed regions.
Test(allowed_regions, requests_run_only_in_allowed_regions) {
  RegionFixture fixture({"north"});
  for (const char* path : {"/query/", "/page/", "/order/"}) {
    cr_assert(fixture.run_many(path, 10) == 10);
  }
  cr_assert(fixture.ran_only_in({"z1"}));
}

Test(allowed_regions, zones_of_unknown_region_get_no_requests) {
  RegionFixture fixture({"north", "south", ""});
  cr_assert(fixture.run_many("/page/", 20) == 20);
  cr_assert(fixture.ran_only_in({"z0", "z1"}));
}

Test(allowed_regions, all_zones_serve_if_no_region_is_set) {
  RegionFixture fixture({});
  fixture.leafs.behaviour["desk-0"].refuses_dials = true;
  fixture.leafs.behaviour["desk-1"].refuses_dials = true;
  cr_assert(fixture.run_many("/page/", 10) == 10);
  cr_assert(fixture.ran_only_in({"z2"}));
}

// Guards against hedges and retries sent outside the allowed regions.
Test(allowed_regions, hedges_and_retries_stay_in_allowed_regions) {
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

// Guards against requests that wait until their deadline for leafs of other
// regions.
Test(allowed_regions, without_a_leaf_there_requests_are_refused_at_once) {
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

Test(allowed_regions, a_zone_serves_once_its_region_is_configured) {
  RegionFixture fixture({"west"});
  cr_assert(fixture.run_many("/page/", 1) == 0);
  fixture.settings.zone_regions["z2"] = "west";
  fixture.dispatcher.update_settings(fixture.settings);
  cr_assert(fixture.run_many("/page/", 5) == 5);
  cr_assert(fixture.ran_only_in({"z2"}));
}

// Guards against queued calls that start at a leaf outside the allowed regions
// once it has room.
Test(allowed_regions, queued_calls_stay_in_allowed_regions) {
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
