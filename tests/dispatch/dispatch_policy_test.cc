#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch::testing {
namespace {

using std::chrono::milliseconds;

/// Uses an objective and timeouts short enough for a test to wait for.
struct PolicyFixture : DispatchFixture {
  explicit PolicyFixture(const DispatchPolicy& policy)
      : DispatchFixture(policy) {
    this->objective = milliseconds(100);
    this->time_limit = milliseconds(400);
    this->caller_timeout = milliseconds(400);
    this->configure(2);
  }
};

DispatchPolicy policy_without(bool DispatchPolicy::*mechanism) {
  DispatchPolicy policy;
  policy.*mechanism = false;
  return policy;
}

Test(dispatch_policy, without_hedges_a_call_waits_for_its_leaf) {
  DispatchPolicy policy = policy_without(&DispatchPolicy::hedge);
  policy.share_unresponsive = false;
  PolicyFixture fixture(policy);
  fixture.leafs.behaviour["desk-0"] = {.silent = true};
  cr_assert(!fixture.run("r1", "/page/1").has_value());
  cr_assert(fixture.leafs.times_run("r1") == 1);
}

Test(dispatch_policy, without_partial_answers_a_query_waits_for_all_shards) {
  PolicyFixture fixture(policy_without(&DispatchPolicy::partial_answers));
  fixture.set_behaviour_of_service("s1", {.silent = true});
  const TimePoint began = Clock::now();
  cr_assert(fixture.run("r1", "/query/1").has_value());
  cr_assert(fixture.merged("r1").missing_shards == 1);
  cr_assert(Clock::now() - began >= fixture.time_limit);
}

Test(dispatch_policy, without_own_zone_preference_calls_go_to_all_leafs) {
  DispatchFixture fixture(policy_without(&DispatchPolicy::prefer_own_zone));
  fixture.leafs.behaviour["desk-0"] = {.silent = true};
  fixture.begin("r0", "/page/1");
  fixture.run_until([&] { return fixture.leafs.times_run("r0") == 1; });
  fixture.leafs.behaviour["desk-0"] = {};
  cr_assert(fixture.run("r1", "/page/1").has_value());
  cr_assert(fixture.leafs.runs["desk-0"].size() == 1);
}

Test(dispatch_policy, without_ejection_a_leaf_is_dialled_again_at_once) {
  DispatchFixture fixture(policy_without(&DispatchPolicy::eject));
  fixture.leafs.behaviour["desk-0"] = {.refuses_dials = true};
  cr_assert(fixture.run("r1", "/page/1").has_value());
  cr_assert(fixture.run("r2", "/page/1").has_value());
  cr_assert(fixture.leafs.dials["desk-0"] == 2);
}

Test(dispatch_policy, without_zone_reports_a_report_has_no_effect) {
  DispatchFixture fixture(policy_without(&DispatchPolicy::zone_reports));
  fixture.dispatcher.on_report(
      {.run = {"desk-0"}, .samples = 50, .excess = 20, .failures = 1});
  cr_assert(fixture.run("r1", "/page/1").has_value());
  cr_assert(fixture.leafs.runs["desk-0"].size() == 1);
  cr_assert(fixture.dispatcher.take_reports().empty());
}

}  // namespace
}  // namespace ibismux::dispatch::testing
