#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch::testing {
namespace {

using std::chrono::milliseconds;

/// The entry of leaf "desk-0", of the run that began at `started`.
directory::LeafEntry desk_0(int started) {
  directory::LeafEntry entry;
  entry.run = {"desk-0", milliseconds(started)};
  entry.service = "desk";
  entry.zone = "z0";
  entry.slots = 4;
  return entry;
}

/// The daemon's own zone has "desk-0", so calls go there while it is well.
struct RestartFixture : DispatchFixture {
  RestartFixture() { this->dispatcher.on_leaf(desk_0(1000)); }

  /// Begins a request, and waits until "desk-0" works on it.
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

// Symptom: after a leaf has started again, calls to it wait for their
// deadlines. Sequence: it keeps its id and its address; connections to its
// former process stay idle here, and the next calls are sent on them. Cause:
// its entry was replaced, and everything else that belonged to the former
// process was kept.
Test(leaf_restart, a_new_run_is_called_on_new_connections) {
  RestartFixture fixture;
  cr_assert(fixture.run("r1", "/page/1").has_value());
  cr_assert(fixture.leafs.dials["desk-0"] == 1);
  fixture.dispatcher.on_leaf(desk_0(2000));
  cr_assert(fixture.run("r2", "/page/1").has_value());
  cr_assert(fixture.leafs.dials["desk-0"] == 2);
}

// Symptom: an answer comes as late as the caller's deadline though another leaf
// could give it. Sequence: a leaf that works on the request starts again under
// its id. Cause: the call was left to wait on a connection that no process has.
Test(leaf_restart, an_idempotent_call_goes_to_another_leaf_at_once) {
  RestartFixture fixture;
  fixture.begin_at_desk_0("r1", "/page/1");
  fixture.dispatcher.on_leaf(desk_0(2000));
  cr_assert(fixture.ends("r1"));
  cr_assert(fixture.outcomes.at("r1").has_value());
  cr_assert(fixture.leafs.times_run("r1") == 2);
}

Test(leaf_restart, a_call_that_may_run_once_ends_as_unknown_at_once) {
  RestartFixture fixture;
  fixture.begin_at_desk_0("r1", "/order/1");
  fixture.dispatcher.on_leaf(desk_0(2000));
  cr_assert(fixture.ends("r1"));
  cr_assert(fixture.outcomes.at("r1").error().execution == Execution::kUnknown);
  cr_assert(fixture.leafs.times_run("r1") == 1);
}

// Symptom: a leaf that is back gets no calls for up to a second. Sequence: it
// crashes, calls are lost and it is ejected; it starts again under its id and
// says so. Cause: the ejection was of the id, not of the run.
Test(leaf_restart, the_ejection_of_the_former_run_is_over) {
  RestartFixture fixture;
  fixture.leafs.behaviour["desk-0"] = {.refuses_dials = true};
  cr_assert(fixture.run("r1", "/page/1").has_value());
  cr_assert(fixture.leafs.runs["desk-0"].empty());
  fixture.leafs.behaviour["desk-0"] = {};
  fixture.dispatcher.on_leaf(desk_0(2000));
  cr_assert(fixture.run("r2", "/page/1").has_value());
  cr_assert(fixture.leafs.runs["desk-0"].size() == 1);
}

// The same for a leaf that another one had replaced at its address.
Test(leaf_restart, a_leaf_that_lost_its_address_is_back_with_a_new_run) {
  RestartFixture fixture;
  fixture.leafs.behaviour["desk-0"] = {.replaced = true};
  cr_assert(fixture.run("r1", "/page/1").has_value());
  fixture.leafs.behaviour["desk-0"] = {};
  fixture.dispatcher.on_leaf(desk_0(2000));
  cr_assert(fixture.run("r2", "/page/1").has_value());
  cr_assert(fixture.leafs.runs["desk-0"].size() == 1);
}

// Symptom: a leaf that has just started gets no calls since it is said to be
// slow. Sequence: daemons report its former run as slow; it starts again; the
// report comes after its new entry. Cause: reports named the id alone.
Test(leaf_restart, a_report_of_the_former_run_says_nothing_of_the_new_one) {
  RestartFixture fixture;
  fixture.dispatcher.on_leaf(desk_0(2000));
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

// Symptom: requests are run by a service that no configuration sends them to.
// Sequence: a leaf starts again under its id as one of another service. Cause:
// it stayed in the group of its former service.
Test(leaf_restart, a_leaf_may_come_back_in_another_service) {
  RestartFixture fixture;
  directory::LeafEntry moved = desk_0(2000);
  moved.service = "s1";
  fixture.dispatcher.on_leaf(moved);
  for (const char* id : {"r1", "r2", "r3", "r4"}) {
    cr_assert(fixture.run(id, "/page/1").has_value());
  }
  cr_assert(fixture.leafs.runs["desk-0"].empty());
}

Test(leaf_restart, a_leaf_of_the_same_run_may_move) {
  RestartFixture fixture;
  cr_assert(fixture.run("r1", "/page/1").has_value());
  directory::LeafEntry moved = desk_0(1000);
  moved.port = 9;
  fixture.dispatcher.on_leaf(moved);
  cr_assert(fixture.run("r2", "/page/1").has_value());
  cr_assert(fixture.leafs.dials["desk-0"] == 2);
}

Test(leaf_restart, what_else_changes_keeps_connections) {
  RestartFixture fixture;
  cr_assert(fixture.run("r1", "/page/1").has_value());
  directory::LeafEntry warm = desk_0(1000);
  warm.warmup_left = milliseconds(500);
  warm.sequence = 7;
  fixture.dispatcher.on_leaf(warm);
  cr_assert(fixture.run("r2", "/page/1").has_value());
  cr_assert(fixture.leafs.dials["desk-0"] == 1);
}

// Symptom: a daemon ends on a null pointer, or counts a leaf's calls below 0.
// Sequence: a leaf starts again and again, twice within one turn of the loop,
// with calls under way, waiting for a link or being given up. Cause: calls
// outlive the leaf that they were sent to.
Test(leaf_restart, runs_that_follow_each_other_lose_no_request) {
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
    fixture.dispatcher.on_leaf(desk_0(2000 + 2 * i));
    fixture.dispatcher.on_leaf(desk_0(2001 + 2 * i));
  }
  cr_assert(fixture.run_until([&] { return fixture.outcomes.size() == 40; }));
}

}  // namespace
}  // namespace ibismux::dispatch::testing
