#include <boost/asio/io_context.hpp>

#include "ibismux/http/cancel_token.h"
#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

using http::CancelReason;
using testing::DispatchFixture;

const Outcome& outcome_at_stop(DispatchFixture& fixture,
                               const std::string& path,
                               int runs_before) {
  const auto token = fixture.begin("r1", path);
  fixture.run_until(
      [&] { return fixture.leafs.times_run("r1") >= runs_before; });
  token->cancel(CancelReason::kStopping);
  fixture.run_until([&] { return fixture.outcomes.contains("r1"); });
  return fixture.outcomes.at("r1");
}

// Guards against a stop that says of a request at a leaf that it was not run.
Test(stop, a_request_at_a_silent_leaf_ends_as_unknown) {
  for (const char* path : {"/page/1", "/order/1"}) {
    DispatchFixture fixture;
    fixture.caller_timeout = std::chrono::seconds(60);
    fixture.set_behaviour_of_service("desk", {.silent = true});
    const Outcome& outcome = outcome_at_stop(fixture, path, 1);
    cr_assert(!outcome);
    cr_assert(outcome.error().kind == ErrorKind::kDeadlineExceeded);
    cr_assert(outcome.error().execution == Execution::kUnknown);
  }
}

// Guards against a stop that throws away the shards that have answered.
Test(stop, a_query_with_enough_shards_is_answered_without_the_others) {
  DispatchFixture fixture;
  fixture.set_behaviour_of_service("s1", {.silent = true});
  const Outcome& outcome = outcome_at_stop(
      fixture, "/query/1", static_cast<int>(DispatchFixture::kShards));
  cr_assert(outcome.has_value());
  cr_assert(fixture.merged("r1").missing_shards == 1);
}

// Guards against a request that is sent to a leaf after its refusal.
Test(stop, a_request_that_has_not_been_sent_is_refused_as_not_run) {
  for (const char* path : {"/page/1", "/query/1"}) {
    DispatchFixture fixture;
    const Outcome& outcome = outcome_at_stop(fixture, path, 0);
    cr_assert(!outcome);
    cr_assert(outcome.error().execution == Execution::kNotRun);
    cr_assert(outcome.error().retry_after.has_value());
    cr_assert(fixture.leafs.times_run("r1") == 0);
  }
}

}  // namespace
}  // namespace ibismux::dispatch
