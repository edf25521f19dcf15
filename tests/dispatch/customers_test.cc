#include "ibismux/customers/customer_table.h"

#include <algorithm>

#include "ibismux/customers/rate_admission.h"
#include "ibismux/customers/rate_check.h"
#include "ibismux/customers/rate_grant.h"
#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch::testing {
namespace {

using Identities = std::vector<std::pair<std::string, std::string>>;

/// Allows a number of requests.
class FakeRates : public customers::RateAdmission {
 public:
  Task<Result<customers::RateGrant>> admit(
      customers::RateCheck check) override {
    this->asked.push_back(check.customer.name);
    if (this->room == 0) {
      Error error = make_error(ErrorKind::kRateLimited, "full");
      error.retry_after = std::chrono::milliseconds(70);
      co_return tl::unexpected(std::move(error));
    }
    --this->room;
    co_return customers::RateGrant{};
  }

  std::size_t room = 1000;
  std::vector<std::string> asked;
};

/// Customer "a" holds key "ka" and has no limit; "b" holds "kb" and has one.
struct Fixture : DispatchFixture {
  FakeRates rates;

  Fixture() {
    this->dispatcher.set_rates(this->rates);
    this->set_customers(2, {"ka"}, {"kb"});
  }

  void set_customers(std::uint64_t version,
                     const std::vector<std::string>& keys_of_a,
                     const std::vector<std::string>& keys_of_b) {
    const customers::KeyHasher hasher(customers::KeyHasher::random_salt());
    const auto digests = [&](const std::vector<std::string>& keys) {
      std::vector<customers::KeyDigest> all;
      for (const std::string& key : keys) {
        all.push_back(hasher.digest(key));
      }
      return all;
    };
    using Entries = std::vector<customers::CustomerTable::Entry>;
    this->customers = std::make_shared<const customers::CustomerTable>(
        hasher, Entries{{{"a", std::nullopt, {}}, digests(keys_of_a)},
                        {{"b", 0, {10, 5}}, digests(keys_of_b)}});
    this->configure(version);
  }

  Outcome& call(const std::string& id,
                const std::string& path,
                std::vector<std::string> authorization) {
    CallerRequest request = this->request(id, path);
    request.authorization = std::move(authorization);
    this->spawn(id,
                this->dispatcher.handle(std::move(request),
                                        std::make_shared<http::CancelToken>()));
    this->run_until([&] { return this->outcomes.contains(id); });
    return this->outcomes.at(id);
  }

  /// Whether all calls to leafs had this customer, and no key.
  [[nodiscard]] bool all_calls_are_of(const std::string& customer) const {
    const Identities& all = this->leafs.identities;
    return !all.empty() &&
           std::all_of(all.begin(), all.end(), [&](const auto& call) {
             return call.first == customer && call.second.empty();
           });
  }
};

// Guards against leafs that run requests under no or another customer's name.
Test(customers, each_call_of_a_query_has_the_customer_and_no_key) {
  Fixture fixture;
  cr_assert(fixture.call("q1", "/query/", {"Bearer ka"}).has_value());
  cr_assert(fixture.leafs.identities.size() >= DispatchFixture::kShards);
  cr_assert(fixture.all_calls_are_of("a"));
}

Test(customers, a_repeat_has_the_customer) {
  Fixture fixture;
  fixture.leafs.behaviour["desk-0"].fails = true;
  cr_assert(fixture.call("p1", "/page/", {"Bearer kb"}).has_value());
  cr_assert(fixture.leafs.identities.size() == 2);
  cr_assert(fixture.all_calls_are_of("b"));
}

Test(customers, requests_without_a_known_key_reach_no_leaf) {
  Fixture fixture;
  const std::vector<std::vector<std::string>> odd = {
      {}, {"Bearer kc"}, {"Basic ka"}, {"Bearer ka", "Bearer kb"}};
  for (const auto& fields : odd) {
    for (const char* path : {"/query/", "/page/", "/order/"}) {
      const std::string id = "r" + std::to_string(fixture.outcomes.size());
      const Outcome& outcome = fixture.call(id, path, fields);
      cr_assert(!outcome.has_value());
      cr_assert(outcome.error().kind == ErrorKind::kUnauthorized);
      cr_assert(outcome.error().execution == Execution::kNotRun);
    }
  }
  cr_assert(fixture.leafs.runs.empty());
}

Test(customers, public_routes_need_no_key) {
  Fixture fixture;
  cr_assert(fixture.call("p1", "/open/", {}).has_value());
  cr_assert(fixture.call("p2", "/open/", {"Bearer kc"}).has_value());
  cr_assert(fixture.all_calls_are_of(""));
  fixture.leafs.identities.clear();
  cr_assert(fixture.call("p3", "/open/", {"Bearer ka"}).has_value());
  cr_assert(fixture.all_calls_are_of("a"));
}

Test(customers, without_customers_the_field_is_the_callers_own) {
  Fixture fixture;
  fixture.customers = nullptr;
  fixture.configure(3);
  cr_assert(fixture.call("p1", "/page/", {"Basic x"}).has_value());
  cr_assert(fixture.leafs.identities == Identities({{"", "Basic x"}}));
}

Test(customers, keys_follow_the_version_in_force) {
  Fixture fixture;
  fixture.set_customers(3, {}, {"kb", "ka"});
  cr_assert(fixture.call("p1", "/page/", {"Bearer ka"}).has_value());
  cr_assert(fixture.all_calls_are_of("b"));
  fixture.set_customers(4, {}, {"kb"});
  cr_assert(!fixture.call("p2", "/page/", {"Bearer ka"}).has_value());
  fixture.set_customers(5, {"ka"}, {"kb"});
  cr_assert(fixture.call("p3", "/page/", {"Bearer ka"}).has_value());
}

Test(customers, a_daemon_without_a_configuration_says_not_ready) {
  boost::asio::io_context loop;
  prometheus::Registry registry;
  eventlog::EventLog log(loop, {.descriptor = -1});
  FakeLeafs leafs;
  Dispatcher dispatcher(loop, leafs, {.member = "h", .zone = "z"}, registry,
                        log);
  DispatchFixture requests;
  std::optional<Outcome> outcome;
  boost::asio::co_spawn(
      loop,
      dispatcher.handle(requests.request("r", "/page/"),
                        std::make_shared<http::CancelToken>()),
      [&](const std::exception_ptr&, Outcome end) { outcome = end; });
  loop.run_for(std::chrono::seconds(5));
  cr_assert(outcome && outcome->error().kind == ErrorKind::kNotReady);
}

Test(customers, a_wide_query_counts_as_one_request) {
  Fixture fixture;
  cr_assert(fixture.call("q1", "/query/", {"Bearer kb"}).has_value());
  cr_assert(fixture.rates.asked == std::vector<std::string>({"b"}));
}

Test(customers, a_customer_without_a_limit_is_not_counted) {
  Fixture fixture;
  cr_assert(fixture.call("q1", "/query/", {"Bearer ka"}).has_value());
  cr_assert(fixture.rates.asked.empty());
}

// Guards against a refusal that says not run after leafs were called.
Test(customers, beyond_its_limit_a_query_reaches_no_leaf) {
  Fixture fixture;
  fixture.rates.room = 0;
  const Outcome& outcome = fixture.call("q1", "/query/", {"Bearer kb"});
  cr_assert(outcome.error().kind == ErrorKind::kRateLimited);
  cr_assert(outcome.error().execution == Execution::kNotRun);
  cr_assert(outcome.error().retry_after == std::chrono::milliseconds(70));
  cr_assert(fixture.leafs.runs.empty());
}

Test(customers, a_query_gathered_for_a_peer_has_its_customer) {
  Fixture fixture;
  CallerRequest request = fixture.request("q1", "/query/");
  request.customer = "b";
  fixture.spawn("q1", fixture.dispatcher.gather(
                          std::move(request), std::make_shared<Confirmation>(),
                          std::make_shared<http::CancelToken>()));
  cr_assert(fixture.run_until([&] { return fixture.outcomes.contains("q1"); }));
  cr_assert(fixture.outcomes.at("q1").has_value());
  cr_assert(fixture.all_calls_are_of("b"));
  cr_assert(fixture.rates.asked.empty());
}

// Guards against requests that a peer of an older build has not identified.
Test(customers, a_query_of_a_peer_without_a_customer_reaches_no_leaf) {
  Fixture fixture;
  fixture.spawn(
      "q1", fixture.dispatcher.gather(fixture.request("q1", "/query/"),
                                      std::make_shared<Confirmation>(),
                                      std::make_shared<http::CancelToken>()));
  cr_assert(fixture.run_until([&] { return fixture.outcomes.contains("q1"); }));
  cr_assert(!fixture.outcomes.at("q1").has_value());
  cr_assert(fixture.leafs.runs.empty());
}

}  // namespace
}  // namespace ibismux::dispatch::testing
