#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch::testing {
namespace {

using std::chrono::milliseconds;

/// Gathers queries of a peer over four shards with three leafs each; the route
/// allows two attempts per shard.
struct PeerFixture : DispatchFixture {
  void gather(const std::string& id, bool is_confirmed) {
    auto confirmation = std::make_shared<Confirmation>();
    confirmation->given = is_confirmed;
    this->spawn(id, this->dispatcher.gather(
                        this->request(id, "/query/"), std::move(confirmation),
                        std::make_shared<http::CancelToken>()));
    this->run_until([&] { return this->outcomes.contains(id); });
  }
};

Test(gather_for_peer, a_query_is_answered_by_all_shards) {
  PeerFixture fixture;
  fixture.gather("q1", true);
  cr_assert(fixture.merged("q1").missing_shards == 0);
  cr_assert(fixture.leafs.times_run("q1") == 4);
}

// Guards against sending a shard's part to more leafs than the route allows.
Test(gather_for_peer, an_unconfirmed_query_gets_one_attempt_fewer) {
  PeerFixture fixture;
  fixture.leafs.behaviour["s1-0"].fails = true;
  fixture.gather("q1", false);
  cr_assert(fixture.merged("q1").missing_shards == 1);
  cr_assert(fixture.leafs.times_run("q1") == 4);
}

Test(gather_for_peer, a_confirmed_query_gets_all_attempts) {
  PeerFixture fixture;
  fixture.leafs.behaviour["s1-0"].fails = true;
  fixture.gather("q1", true);
  cr_assert(fixture.merged("q1").missing_shards == 0);
  cr_assert(fixture.leafs.times_run("q1") == 5);
}

/// A peer that returns no answer. `may_have_run` sets whether it may have run
/// the query.
class LostDelegate : public QueryDelegate {
 public:
  [[nodiscard]] bool is_available(const Needs&, TimePoint) const override {
    return true;
  }
  [[nodiscard]] Task<DelegationResult> run(
      Query query,
      std::shared_ptr<http::CancelToken>) override {
    this->received_ids.push_back(query.request.id);
    co_return DelegationResult{std::nullopt, this->may_have_run};
  }
  bool may_have_run = true;
  std::vector<std::string> received_ids;
};

/// Eight shards: queries over fewer are never delegated.
struct DelegatingFixture : DispatchFixture {
  DelegatingFixture() {
    auto route = this->dispatcher.table()->routes().front();
    for (int i = 5; i <= 8; ++i) {
      const std::string shard = "s" + std::to_string(i);
      this->add_service(shard);
      route.shards.push_back(shard);
    }
    this->dispatcher.activate(std::make_shared<const routing::RouteTable>(
        2, std::vector<routing::Route>{route},
        std::vector<routing::ServiceSpec>{}, routing::CallerLimits{}));
    this->dispatcher.set_delegate(this->delegate);
  }
  LostDelegate delegate;
};

Test(delegating, a_query_that_a_peer_may_have_run_gets_one_attempt_fewer) {
  DelegatingFixture fixture;
  fixture.leafs.behaviour["s1-0"].fails = true;
  cr_assert(fixture.run("q1", "/query/").has_value());
  cr_assert(fixture.delegate.received_ids.size() == 1);
  cr_assert(fixture.leafs.times_run("q1") == 8);
}

Test(delegating,
     a_query_that_a_peer_may_have_run_is_never_reported_as_not_run) {
  DelegatingFixture fixture;
  fixture.dispatcher.set_evacuated({"z0", "z1", "z2"});
  const Outcome& outcome = fixture.run("q1", "/query/");
  cr_assert(!outcome.has_value());
  cr_assert(outcome.error().execution == Execution::kUnknown);
  fixture.delegate.may_have_run = false;
  const Outcome& second = fixture.run("q2", "/query/");
  cr_assert(!second.has_value());
  cr_assert(second.error().execution == Execution::kNotRun);
}

Test(delegating, a_query_that_no_peer_has_taken_gets_all_attempts) {
  DelegatingFixture fixture;
  fixture.delegate.may_have_run = false;
  fixture.leafs.behaviour["s1-0"].fails = true;
  cr_assert(fixture.run("q1", "/query/").has_value());
  cr_assert(fixture.leafs.times_run("q1") == 9);
}

// Guards against sending the body of a query to a host outside the allowed
// regions.
Test(delegating, a_query_bound_to_other_regions_is_not_delegated) {
  for (const bool own_zone_allowed : {true, false}) {
    DelegatingFixture fixture;
    fixture.settings.zone_regions = {
        {"z0", own_zone_allowed ? "north" : "south"},
        {"z1", "north"},
        {"z2", "north"}};
    fixture.dispatcher.update_settings(fixture.settings);
    auto route = fixture.dispatcher.table()->routes().front();
    route.allowed_regions = {"north"};
    fixture.dispatcher.activate(std::make_shared<const routing::RouteTable>(
        3, std::vector<routing::Route>{route},
        std::vector<routing::ServiceSpec>{}, routing::CallerLimits{}));
    cr_assert(fixture.run("q1", "/query/").has_value());
    cr_assert(fixture.delegate.received_ids.size() ==
              (own_zone_allowed ? 1 : 0));
  }
}

Test(delegating, a_query_over_few_shards_is_not_delegated) {
  DispatchFixture fixture;
  LostDelegate delegate;
  fixture.dispatcher.set_delegate(delegate);
  cr_assert(fixture.run("q1", "/query/").has_value());
  cr_assert(delegate.received_ids.empty());
}

}  // namespace
}  // namespace ibismux::dispatch::testing
