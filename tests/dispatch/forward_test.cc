#include <boost/asio/io_context.hpp>
#include <thread>

#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

using testing::Behaviour;
using testing::DispatchFixture;

Test(forward, the_leafs_answer_is_returned_unmodified) {
  DispatchFixture fixture;
  const Outcome& outcome = fixture.run("r1", "/page/1");
  cr_assert(outcome.has_value());
  const auto& answer = std::get<LeafAnswer>(*outcome);
  cr_assert(answer.status == 200 && answer.receipt == "desk-0.r1");
}

Test(forward, without_a_configuration_the_refusal_has_a_retry_time) {
  boost::asio::io_context loop;
  prometheus::Registry registry;
  eventlog::EventLog log(loop, {.descriptor = -1});
  testing::FakeLeafs leafs;
  Dispatcher dispatcher(loop, leafs, {}, registry, log);
  std::optional<Outcome> outcome;
  CallerRequest request;
  request.received = Clock::now();
  request.deadline = request.received + std::chrono::seconds(1);
  boost::asio::co_spawn(
      loop, dispatcher.handle(request, std::make_shared<http::CancelToken>()),
      [&](const std::exception_ptr&, Outcome ended) { outcome = ended; });
  while (!outcome) {
    loop.run_one();
  }
  cr_assert(outcome->error().kind == ErrorKind::kNotReady);
  cr_assert(outcome->error().execution == Execution::kNotRun);
  cr_assert(outcome->error().retry_after.has_value());
}

Test(forward, a_path_without_a_route_is_not_found) {
  DispatchFixture fixture;
  cr_assert(fixture.run("r1", "/nowhere").error().kind == ErrorKind::kNotFound);
}

// Guards against a reservation that is sent to a second leaf after a connection
// reset.
Test(forward, at_most_once_is_not_sent_again_after_a_byte_was_sent) {
  DispatchFixture fixture;
  fixture.set_behaviour_of_service("desk", {.resets = true});
  const Outcome& outcome = fixture.run("r1", "/order/1");
  cr_assert(outcome.error().execution == Execution::kUnknown);
  cr_assert(fixture.leafs.times_run("r1") == 1);
}

Test(forward, at_most_once_is_sent_again_if_the_leaf_has_not_run_it) {
  DispatchFixture fixture;
  fixture.leafs.behaviour["desk-0"] = {.sheds = true};
  cr_assert(fixture.run("r1", "/order/1").has_value());
  cr_assert(fixture.leafs.times_run("r1") == 1);
}

Test(forward, at_most_once_is_sent_again_if_no_byte_was_sent) {
  DispatchFixture fixture;
  fixture.leafs.behaviour["desk-0"] = {.refuses_dials = true};
  cr_assert(fixture.run("r1", "/order/1").has_value());
  cr_assert(fixture.leafs.times_run("r1") == 1);
}

Test(forward, if_all_leafs_are_full_the_error_says_not_run) {
  DispatchFixture fixture;
  fixture.set_behaviour_of_service("desk", {.sheds = true});
  const Outcome& outcome = fixture.run("r1", "/order/1");
  cr_assert(outcome.error().execution == Execution::kNotRun);
  cr_assert(outcome.error().retry_after.has_value());
  cr_assert(fixture.leafs.times_run("r1") == 0);
}

Test(forward, an_idempotent_request_is_sent_again_after_a_failure) {
  DispatchFixture fixture;
  fixture.leafs.behaviour["desk-0"] = {.fails = true};
  const Outcome& outcome = fixture.run("r1", "/page/1");
  cr_assert(std::get<LeafAnswer>(*outcome).status == 200);
  cr_assert(fixture.leafs.times_run("r1") == 2);
}

Test(forward, the_routes_maximum_of_attempts_is_respected) {
  DispatchFixture fixture;
  fixture.set_behaviour_of_service("desk", {.fails = true});
  const Outcome& outcome = fixture.run("r1", "/page/1");
  // The leaf's own error response is more specific than an error of the daemon.
  cr_assert(std::get<LeafAnswer>(*outcome).status == 500);
  cr_assert(fixture.leafs.times_run("r1") == 2);
}

// Guards against a run that is cancelled before it starts and then completes a
// second time.
Test(forward, a_request_cancelled_before_its_start_reaches_no_leaf) {
  for (const char* path : {"/page/1", "/order/1", "/query/1"}) {
    DispatchFixture fixture;
    fixture.begin("r1", path)->cancel();
    cr_assert(
        fixture.run_until([&] { return fixture.outcomes.contains("r1"); }));
    cr_assert(fixture.outcomes.at("r1").error().kind == ErrorKind::kCancelled);
    cr_assert(fixture.leafs.times_run("r1") == 0, "%s", path);
  }
}

// Guards against calls to a process that has taken over the address of another
// leaf.
Test(forward, a_leaf_whose_address_was_taken_over_gets_no_more_calls) {
  DispatchFixture fixture;
  fixture.leafs.behaviour["desk-0"] = {.replaced = true};
  cr_assert(fixture.run("r1", "/page/1").has_value());
  cr_assert(fixture.run("r2", "/page/1").has_value());
  cr_assert(fixture.leafs.runs["desk-0"].empty());
  cr_assert(fixture.leafs.dials["desk-0"] == 1);
}

Test(forward, a_draining_leaf_gets_nothing_new) {
  DispatchFixture fixture;
  directory::LeafEntry entry;
  entry.run.id = "desk-0";
  entry.service = "desk";
  entry.zone = "z0";
  entry.draining = true;
  fixture.dispatcher.on_leaf_updated(entry);
  cr_assert(fixture.run("r1", "/page/1").has_value());
  cr_assert(fixture.leafs.runs["desk-0"].empty());
}

Test(forward, without_leafs_the_request_is_refused_at_once) {
  DispatchFixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.dispatcher.on_leaf_removed("desk-" + std::to_string(i), "removed");
  }
  const Outcome& outcome = fixture.run("r1", "/page/1");
  cr_assert(outcome.error().execution == Execution::kNotRun);
  cr_assert(outcome.error().retry_after.has_value());
}

Test(forward, a_silent_leaf_leads_to_an_unknown_outcome_at_the_deadline) {
  DispatchFixture fixture;
  fixture.caller_timeout = std::chrono::milliseconds(60);
  fixture.set_behaviour_of_service("desk", {.silent = true});
  const Outcome& outcome = fixture.run("r1", "/order/1");
  cr_assert(outcome.error().execution == Execution::kUnknown);
  cr_assert(fixture.leafs.times_run("r1") == 1);
}

// Guards against reporting a timeout as a failed leaf when the daemon's event
// loop is late.
Test(forward, a_silent_leaf_is_a_timeout_even_if_the_daemon_is_late) {
  for (const char* path : {"/order/1", "/page/1"}) {
    DispatchFixture fixture;
    fixture.caller_timeout = std::chrono::milliseconds(400);
    fixture.set_behaviour_of_service("desk", {.silent = true});
    fixture.begin("r1", path);
    cr_assert(
        fixture.run_until([&] { return fixture.leafs.times_run("r1") > 0; }));
    std::this_thread::sleep_for(fixture.caller_timeout);
    cr_assert(
        fixture.run_until([&] { return fixture.outcomes.contains("r1"); }));
    cr_assert(fixture.outcomes.at("r1").error().kind ==
              ErrorKind::kDeadlineExceeded);
  }
}

// Guards against leafs that keep working for callers that have disconnected.
Test(forward, calls_of_a_disconnected_caller_are_cancelled) {
  DispatchFixture fixture;
  fixture.set_behaviour_of_service("desk", {.silent = true});
  const auto caller = fixture.begin("r1", "/page/1");
  cr_assert(
      fixture.run_until([&] { return fixture.leafs.times_run("r1") == 1; }));
  caller->cancel();
  cr_assert(fixture.run_until([&] { return fixture.outcomes.contains("r1"); }));
  cr_assert(fixture.outcomes.at("r1").error().kind == ErrorKind::kCancelled);
  fixture.set_behaviour_of_service("desk", {});
  // The connection of the cancelled call was closed, so a later call has to
  // dial.
  const int before = fixture.leafs.dials["desk-0"];
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  fixture.run("r2", "/page/1");
  fixture.run("r3", "/page/1");
  cr_assert(fixture.leafs.dials["desk-0"] + fixture.leafs.dials["desk-1"] +
                fixture.leafs.dials["desk-2"] >
            before);
}

Test(forward, the_configuration_never_goes_back) {
  DispatchFixture fixture;
  fixture.configure(7);
  fixture.configure(5);
  cr_assert(fixture.dispatcher.table()->version() == 7);
}

}  // namespace
}  // namespace ibismux::dispatch
