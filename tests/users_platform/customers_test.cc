// Customers of the users' platform, against daemons as processes.

#include "tests/users_platform/edge_site.h"

#include <criterion/criterion.h>

namespace ibismux::testing {
namespace {

constexpr std::size_t kDaemons = 3;

/// A configuration of the stand-in's shards with these customers.
std::string with_customers(int version, const std::string& customers) {
  std::string text = configuration(
      version,
      R"({"Name":"query","Host":"search.example","PathPrefix":"/query/",)"
      R"("Type":"idempotent","TimeoutMs":4000,"TargetLatencyMs":1000,)"
      R"("MaxAttempts":2,"Gather":["s1","s2","s3"],"TopK":10,)"
      R"("MinCoverage":0.6})");
  text.pop_back();
  return text + R"(,"Tenants":)" + customers + "}";
}

struct CustomerSite : EdgeSite {
  CustomerSite() : EdgeSite(kDaemons) {
    cr_assert(this->wait_until_all_ready());
  }

  /// Waits until `credentials` are answered with `status` at all daemons.
  bool wait_for(const std::string& credentials, int status) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      const bool reached = wait_until([&] {
        const auto answer = this->call_with_key(
            "w" + std::to_string(++this->number), credentials, i);
        return answer && answer->status == status;
      });
      if (!reached) {
        return false;
      }
    }
    return true;
  }

  /// Activates a configuration with `customers` at all daemons.
  void configure(int version, const std::string& customers) {
    this->fake("PUT", "config", with_customers(version, customers));
    cr_assert(this->wait_for("Bearer of-nobody", 401));
  }

  int number = 0;
};

// Guards against keys at leafs and in logs, and against calls under another
// customer's name.
Test(customers, leafs_get_the_name_and_nobody_the_key) {
  CustomerSite site;
  site.configure(9, R"([{"Name":"c1","ApiKeys":["secretkey1"]},)"
                    R"({"Name":"c2","ApiKeys":["secretkey2"]}])");
  // Before, the field was the callers' own.
  const auto keys = [&site] {
    return site.fake("GET", "customers").at("keys").as_int64();
  };
  const auto keys_before = keys();
  cr_assert(site.wait_for("Bearer secretkey1", 200));
  cr_assert(site.wait_for("Bearer unknownsecret", 401));
  const auto answer = site.call_with_key("q1", "bearer  secretkey2", 1);
  cr_assert(answer->status == 200);
  cr_assert(site.customers_of("q1") == std::vector<std::string>({"c2"}));
  cr_assert(site.call_with_key("q2", "Basic secretkey1").value().status == 401);
  cr_assert(site.customers_of("q2").empty());
  cr_assert(keys() == keys_before);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    cr_assert(site.metrics(i).find("secret") == std::string::npos);
    site.daemon(i).terminate();
    cr_assert(site.daemon(i).output().find("secret") == std::string::npos);
    cr_assert(site.daemon(i).log().find("secret") == std::string::npos);
  }
}

Test(customers, keys_are_added_removed_and_given_back) {
  CustomerSite site;
  const std::string with = R"([{"Name":"c1","ApiKeys":["k1","k2"]}])";
  const std::string without = R"([{"Name":"c1","ApiKeys":["k2"]}])";
  site.configure(9, without);
  for (int version = 10; version < 16; version += 2) {
    site.fake("PUT", "config", with_customers(version, with));
    cr_assert(site.wait_for("Bearer k1", 200));
    site.fake("PUT", "config", with_customers(version + 1, without));
    cr_assert(site.wait_for("Bearer k1", 401));
    cr_assert(site.wait_for("Bearer k2", 200));
  }
}

// Guards against a limit that each daemon enforces by itself.
Test(customers, a_limit_holds_for_all_daemons_together) {
  CustomerSite site;
  site.configure(9, R"([{"Name":"c1","ApiKeys":["k1"]},{"Name":"c2",)"
                    R"("ApiKeys":["k2"],"RatePerS":0.01,"Burst":6000}])");
  // All parts are empty at first, and then hold less than one request.
  int served = 0;
  for (int i = 0; i < 60; ++i) {
    const auto answer =
        site.call_with_key("l" + std::to_string(i), "Bearer k2",
                           static_cast<std::size_t>(i) % kDaemons);
    served += answer->status == 200 ? 1 : 0;
    cr_assert(answer->status == 200 || answer->status == 429 ||
              answer->status == 503);
    cr_assert(answer->status == 200 || !answer->field("Retry-After").empty());
  }
  cr_assert(served <= 1);
}

// Guards against an outage of the store that ends all service.
Test(customers, keys_outlast_an_outage_of_the_store) {
  CustomerSite site;
  site.configure(9, R"([{"Name":"c1","ApiKeys":["secretkey1"]}])");
  cr_assert(site.wait_for("Bearer secretkey1", 200));
  // Watches that wait already would still be answered in an outage.
  site.fake("PUT", "faults", R"({"outage":true,"silent_watch":true})");
  site.fake("PUT", "config",
            with_customers(10, R"([{"Name":"c1","ApiKeys":["another"]}])"));
  for (std::size_t i = 0; i < kDaemons; ++i) {
    cr_assert(wait_until([&] {
      return site.metrics(i).find("\nibismux_platform_state 0") ==
             std::string::npos;
    }));
  }
  cr_assert(site.wait_for("Bearer secretkey1", 200));
  site.fake("PUT", "faults", R"({"outage":false,"silent_watch":false})");
  cr_assert(site.wait_for("Bearer secretkey1", 401));
}

// Guards against keys in what explains a refusal beyond a limit.
Test(customers, refusals_beyond_a_limit_are_logged_without_the_key) {
  CustomerSite site;
  site.configure(9, R"([{"Name":"c2","ApiKeys":["secretkey2"],)"
                    R"("RatePerS":0.01}])");
  cr_assert(site.wait_for("Bearer secretkey2", 429));
  for (std::size_t i = 0; i < kDaemons; ++i) {
    cr_assert(site.metrics(i).find("secret") == std::string::npos);
    site.daemon(i).terminate();
    const std::string output = site.daemon(i).output();
    cr_assert(output.find(R"("rate_refused")") != std::string::npos);
    cr_assert(output.find("secret") == std::string::npos);
    cr_assert(site.daemon(i).log().find("secret") == std::string::npos);
  }
}

Test(customers, requests_within_the_limit_are_served) {
  CustomerSite site;
  site.configure(9, R"([{"Name":"c1","ApiKeys":["k1"],)"
                    R"("RatePerS":1000,"Burst":100}])");
  cr_assert(site.wait_for("Bearer k1", 200));
  for (int i = 0; i < 60; ++i) {
    const auto answer =
        site.call_with_key("l" + std::to_string(i), "Bearer k1",
                           static_cast<std::size_t>(i) % kDaemons);
    cr_assert(answer->status == 200);
  }
}

}  // namespace
}  // namespace ibismux::testing
