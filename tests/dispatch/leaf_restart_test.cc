#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch::testing {
namespace {

using std::chrono::milliseconds;

/// The entry of leaf "desk-0" for the run that started at `started`.
directory::LeafEntry desk_0(int started) {
  directory::LeafEntry entry;
  entry.run = {"desk-0", milliseconds(started)};
  entry.service = "desk";
  entry.zone = "z0";
  entry.slots = 4;
  return entry;
}

/// "desk-0" is in the zone of the daemon, so it gets the calls while healthy.
struct RestartFixture : DispatchFixture {
  RestartFixture() { this->dispatcher.on_leaf_updated(desk_0(1000)); }

  /// Begins a request and waits until "desk-0" executes it.
  void begin_at_desk_0(const std::string& id, const std::string& path) {
    this->leafs.behaviour["desk-0"] = {.silent = true};
    this->begin(id, path);
    this->run_until([&] { return this->leafs.times_run(id) == 1; });
    this->leafs.behaviour["desk-0"] = {};
  }

  bool ends(const std::string& id) {
    return this->run_until([&] { return this->outcomes.contains(id); });
  }
};

// Guards against sending calls over connections to a process that has ended.
Test(leaf_restart, a_new_run_is_called_on_new_connections) {
  RestartFixture fixture;
  cr_assert(fixture.run("r1", "/page/1").has_value());
  cr_assert(fixture.leafs.dials["desk-0"] == 1);
  fixture.dispatcher.on_leaf_updated(desk_0(2000));
  cr_assert(fixture.run("r2", "/page/1").has_value());
  cr_assert(fixture.leafs.dials["desk-0"] == 2);
}

// Guards against calls in flight that wait for a process that has ended.
Test(leaf_restart, an_idempotent_call_is_retried_immediately_at_another_leaf) {
  RestartFixture fixture;
  fixture.begin_at_desk_0("r1", "/page/1");
  fixture.dispatcher.on_leaf_updated(desk_0(2000));
  cr_assert(fixture.ends("r1"));
  cr_assert(fixture.outcomes.at("r1").has_value());
  cr_assert(fixture.leafs.times_run("r1") == 2);
}

Test(leaf_restart, a_non_idempotent_call_ends_immediately_as_unknown) {
  RestartFixture fixture;
  fixture.begin_at_desk_0("r1", "/order/1");
  fixture.dispatcher.on_leaf_updated(desk_0(2000));
  cr_assert(fixture.ends("r1"));
  cr_assert(fixture.outcomes.at("r1").error().execution == Execution::kUnknown);
  cr_assert(fixture.leafs.times_run("r1") == 1);
}

// Guards against an ejection that outlasts the run that was ejected.
Test(leaf_restart, a_new_run_is_not_ejected) {
  RestartFixture fixture;
  fixture.leafs.behaviour["desk-0"] = {.refuses_dials = true};
  cr_assert(fixture.run("r1", "/page/1").has_value());
  cr_assert(fixture.leafs.runs["desk-0"].empty());
  fixture.leafs.behaviour["desk-0"] = {};
  fixture.dispatcher.on_leaf_updated(desk_0(2000));
  cr_assert(fixture.run("r2", "/page/1").has_value());
  cr_assert(fixture.leafs.runs["desk-0"].size() == 1);
}

// Guards against treating a new run as retired because another leaf had taken
// over the address of the previous run.
Test(leaf_restart, a_replaced_leaf_returns_with_a_new_run) {
  RestartFixture fixture;
  fixture.leafs.behaviour["desk-0"] = {.replaced = true};
  cr_assert(fixture.run("r1", "/page/1").has_value());
  fixture.leafs.behaviour["desk-0"] = {};
  fixture.dispatcher.on_leaf_updated(desk_0(2000));
  cr_assert(fixture.run("r2", "/page/1").has_value());
  cr_assert(fixture.leafs.runs["desk-0"].size() == 1);
}

// Guards against applying reports on a previous run to the current one.
Test(leaf_restart, a_report_on_the_previous_run_is_ignored) {
  RestartFixture fixture;
  fixture.dispatcher.on_leaf_updated(desk_0(2000));
  fixture.dispatcher.on_report({.run = {"desk-0", milliseconds(1000)},
                                .samples = 50,
                                .excess = 20,
                                .failures = 1});
  cr_assert(fixture.run("r1", "/page/1").has_value());
  cr_assert(fixture.leafs.runs["desk-0"].size() == 1);
  fixture.dispatcher.on_report({.run = {"desk-0", milliseconds(2000)},
                                .samples = 50,
                                .excess = 20,
                                .failures = 1});
  cr_assert(fixture.run("r2", "/page/1").has_value());
  cr_assert(fixture.leafs.runs["desk-0"].size() == 1);
}

// Guards against a leaf that stays in the group of its previous service.
Test(leaf_restart, a_leaf_may_restart_in_another_service) {
  RestartFixture fixture;
  directory::LeafEntry moved = desk_0(2000);
  moved.service = "s1";
  fixture.dispatcher.on_leaf_updated(moved);
  for (const char* id : {"r1", "r2", "r3", "r4"}) {
    cr_assert(fixture.run(id, "/page/1").has_value());
  }
  cr_assert(fixture.leafs.runs["desk-0"].empty());
}

Test(leaf_restart, a_new_address_in_the_same_run_gets_new_connections) {
  RestartFixture fixture;
  cr_assert(fixture.run("r1", "/page/1").has_value());
  directory::LeafEntry moved = desk_0(1000);
  moved.port = 9;
  fixture.dispatcher.on_leaf_updated(moved);
  cr_assert(fixture.run("r2", "/page/1").has_value());
  cr_assert(fixture.leafs.dials["desk-0"] == 2);
}

Test(leaf_restart, other_changes_of_the_entry_keep_connections) {
  RestartFixture fixture;
  cr_assert(fixture.run("r1", "/page/1").has_value());
  directory::LeafEntry warm = desk_0(1000);
  warm.warmup_left = milliseconds(500);
  warm.sequence = 7;
  fixture.dispatcher.on_leaf_updated(warm);
  cr_assert(fixture.run("r2", "/page/1").has_value());
  cr_assert(fixture.leafs.dials["desk-0"] == 1);
}

// Guards against requests lost because a call outlives its leaf.
Test(leaf_restart, a_quick_sequence_of_runs_loses_no_request) {
  RestartFixture fixture;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    fixture.leafs.behaviour["desk-0"] = {.silent = i % 3 == 0,
                                         .work = milliseconds(i % 4)};
    const auto caller = fixture.begin(id, "/page/1");
    if (i % 5 == 0) {
      caller->cancel();
    }
    fixture.loop.poll();
    fixture.dispatcher.on_leaf_updated(desk_0(2000 + 2 * i));
    fixture.dispatcher.on_leaf_updated(desk_0(2001 + 2 * i));
  }
  cr_assert(fixture.run_until([&] { return fixture.outcomes.size() == 40; }));
}

}  // namespace
}  // namespace ibismux::dispatch::testing
