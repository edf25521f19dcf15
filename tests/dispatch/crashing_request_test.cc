#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

using testing::DispatchFixture;

// The maximum number of attempts of callers that reach leafs before the request
// is quarantined, which happens once three leafs have crashed.
constexpr int kMaxAttemptsReachingLeafs = 3;
constexpr int kShardCount = static_cast<int>(DispatchFixture::kShards);

/// A fixture that has learned how long queries take, so that there is time for
/// canaries.
struct CanaryFixture : DispatchFixture {
  CanaryFixture() {
    for (int shard = 1; shard <= kShardCount; ++shard) {
      this->set_behaviour_of_service("s" + std::to_string(shard),
                                     {.work = std::chrono::milliseconds(20)});
    }
    this->run_many("/query/usual", 60);
  }
};

/// Sends `path` `attempts` times; all crashed leafs are restarted before each.
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

// Guards against a query that crashes all leafs of a service each time its
// caller retries it.
Test(crashing_request, a_query_that_crashes_leafs_is_quarantined) {
  DispatchFixture fixture;
  cr_assert(attempts_that_reach_leafs(fixture, "/query/bad", 8) <=
            kMaxAttemptsReachingLeafs);
}

// Guards against a request to a single leaf that crashes one leaf after the
// other.
Test(crashing_request, a_page_that_crashes_leafs_is_quarantined) {
  DispatchFixture fixture;
  cr_assert(attempts_that_reach_leafs(fixture, "/page/bad", 8) <=
            kMaxAttemptsReachingLeafs);
}

// Guards against a caller that waits until its deadline for a quarantined
// request, or is told to retry too soon.
Test(crashing_request, it_is_refused_at_once_with_a_retry_time) {
  DispatchFixture fixture;
  attempts_that_reach_leafs(fixture, "/query/bad", 3);
  const Outcome& outcome = fixture.run("last", "/query/bad");
  cr_assert(outcome.error().kind == ErrorKind::kQuarantined);
  cr_assert(outcome.error().execution == Execution::kNotRun);
  cr_assert(*outcome.error().retry_after > std::chrono::minutes(30));
  cr_assert(fixture.leafs.times_run("last") == 0);
}

// Guards against one attempt that crashes all leafs of a service.
Test(crashing_request, one_attempt_crashes_few_replicas) {
  DispatchFixture fixture;
  fixture.leafs.crashing_target = "/query/bad";
  fixture.run("bad", "/query/bad");
  const int first_calls = DispatchFixture::kShards;
  cr_assert(fixture.leafs.crashes <= first_calls + 2);
  cr_assert(fixture.run("good", "/query/good").has_value());
}

// Guards against a query that ends a leaf of each shard before the first end is
// noticed.
Test(crashing_request, the_first_query_ends_no_more_leafs_than_a_quarantine) {
  constexpr int kLeafsToQuarantine = 3;
  CanaryFixture fixture;
  fixture.leafs.crashing_target = "/query/bad";
  fixture.run("bad", "/query/bad");
  cr_assert(fixture.leafs.crashes <= kLeafsToQuarantine);
  cr_assert(fixture.run("good", "/query/good").has_value());
}

// Guards against canaries that are given up while a leaf still runs the
// request: leafs took seven times the usual until they ended.
Test(crashing_request, canaries_are_given_time_to_end) {
  constexpr int kLeafsToQuarantine = 3;
  CanaryFixture fixture;
  for (int shard = 1; shard <= kShardCount; ++shard) {
    fixture.set_behaviour_of_service("s" + std::to_string(shard),
                                     {.work = std::chrono::milliseconds(140)});
  }
  fixture.leafs.crashing_target = "/query/bad";
  fixture.run("bad", "/query/bad");
  // The first two end together and count once.
  cr_assert(fixture.leafs.crashes <= kLeafsToQuarantine + 1);
}

// Guards against a query that waits for a canary that never answers.
Test(crashing_request, a_silent_canary_is_followed_by_others) {
  CanaryFixture fixture;
  fixture.time_limit = std::chrono::milliseconds(3000);
  fixture.configure(2);
  fixture.set_behaviour_of_service("s1", {.silent = true});
  fixture.set_behaviour_of_service("s2", {.silent = true});
  fixture.begin("q1", "/query/x");
  cr_assert(fixture.run_until(
      [&] { return fixture.leafs.times_run("q1") >= kShardCount; }));
}

Test(crashing_request, a_query_that_was_answered_lately_has_no_canary) {
  CanaryFixture fixture;
  cr_assert(fixture.run("q1", "/query/x").has_value());
  for (int shard = 1; shard <= 4; ++shard) {
    fixture.set_behaviour_of_service("s" + std::to_string(shard),
                                     {.silent = true});
  }
  fixture.begin("q2", "/query/x");
  cr_assert(fixture.run_until(
      [&] { return fixture.leafs.times_run("q2") >= kShardCount; }));
  fixture.begin("q3", "/query/y");
  cr_assert(
      fixture.run_until([&] { return fixture.leafs.times_run("q3") == 1; }));
}

// Guards against the quarantine of a request because of leafs that ended for
// other reasons.
Test(crashing_request, leafs_that_end_for_other_reasons_cause_no_quarantine) {
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

// Guards against the loss of a request that ran on a leaf crashed by another
// request.
Test(crashing_request, another_request_of_a_crashed_leaf_is_retried) {
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
