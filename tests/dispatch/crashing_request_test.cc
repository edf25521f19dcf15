#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

using testing::DispatchFixture;

// Attempts of callers that may reach leafs once three leafs have ended.
constexpr int kMostRetries = 3;

/// Sends `path` `attempts` times; all leafs are back before each.
/// @return How many attempts reached a leaf.
int attempts_that_reach_leafs(DispatchFixture& fixture,
                              const std::string& path,
                              int attempts) {
  fixture.leafs.crashing_target = path;
  int reached = 0;
  for (int i = 0; i < attempts; ++i) {
    const std::string id = "r" + std::to_string(i);
    fixture.run(id, path);
    reached += fixture.leafs.times_run(id) > 0 ? 1 : 0;
    fixture.restart_ended_leafs();
  }
  return reached;
}

// Guards against a query that ends all leafs of a service at each repeat.
Test(crashing_request, a_query_that_ends_leafs_is_kept_from_them) {
  DispatchFixture fixture;
  cr_assert(attempts_that_reach_leafs(fixture, "/query/bad", 8) <=
            kMostRetries);
}

// Guards against a request for one leaf that ends one after the other.
Test(crashing_request, a_page_that_ends_leafs_is_kept_from_them) {
  DispatchFixture fixture;
  cr_assert(attempts_that_reach_leafs(fixture, "/page/bad", 8) <= kMostRetries);
}

// Guards against a caller that waits in vain, or is told to return too soon.
Test(crashing_request, the_refusal_comes_at_once_with_the_time_to_return) {
  DispatchFixture fixture;
  attempts_that_reach_leafs(fixture, "/query/bad", 3);
  const Outcome& outcome = fixture.run("last", "/query/bad");
  cr_assert(outcome.error().kind == ErrorKind::kQuarantined);
  cr_assert(outcome.error().execution == Execution::kNotRun);
  cr_assert(*outcome.error().retry_after > std::chrono::minutes(30));
  cr_assert(fixture.leafs.times_run("last") == 0);
}

// Guards against all leafs of a service ended by one attempt.
Test(crashing_request, an_attempt_spares_most_replicas) {
  DispatchFixture fixture;
  fixture.leafs.crashing_target = "/query/bad";
  fixture.run("bad", "/query/bad");
  const int first_calls = DispatchFixture::kShards;
  cr_assert(fixture.leafs.crashes <= first_calls + 2);
  cr_assert(fixture.run("good", "/query/good").has_value());
}

// Guards against a request that is held for leafs that ended for other reasons.
Test(crashing_request, leafs_that_end_by_themselves_condemn_nothing) {
  DispatchFixture fixture;
  for (int i = 0; i < 6; ++i) {
    for (const char* service : {"s1", "s2", "s3", "s4"}) {
      fixture.set_behaviour_of_service(service,
                                       {.work = std::chrono::milliseconds(50)});
    }
    const std::string id = "r" + std::to_string(i);
    fixture.begin(id, "/query/popular");
    fixture.run_until([&] {
      return fixture.leafs.times_run(id) == DispatchFixture::kShards;
    });
    fixture.leafs.end_all();
    fixture.run_until([&] { return fixture.outcomes.contains(id); });
    fixture.restart_ended_leafs();
    for (const char* service : {"s1", "s2", "s3", "s4"}) {
      fixture.set_behaviour_of_service(service, {});
    }
    cr_assert(fixture.run("again" + id, "/query/popular").has_value());
  }
  cr_assert(fixture.dispatcher.quarantine().size() == 0);
}

// Guards against a request that is lost with one that ends its leaf.
Test(crashing_request, a_bystander_is_served_by_another_leaf) {
  DispatchFixture fixture;
  fixture.set_behaviour_of_service("desk",
                                   {.work = std::chrono::milliseconds(50)});
  fixture.leafs.crashing_target = "/page/bad";
  fixture.begin("good", "/page/good");
  fixture.begin("bad", "/page/bad");
  fixture.run_until([&] { return fixture.outcomes.size() == 2; });
  cr_assert(fixture.outcomes.at("good").has_value());
}

}  // namespace
}  // namespace ibismux::dispatch
