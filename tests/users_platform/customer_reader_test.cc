#include "platform/configuration_reader.h"
#include "platform/key_redaction.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <criterion/criterion.h>

namespace ibismux::users_platform {
namespace {

namespace json = boost::json;

/// A configuration with these customers, as a daemon keeps it.
std::string redacted(const std::string& customers) {
  json::object configuration =
      json::parse(
          R"({"Version":7,"Routes":[],"Services":[],"Limits":{)"
          R"("MaxHeaderBytes":16384,"MaxBodyBytes":262144,)"
          R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":)" +
          customers + "}")
          .as_object();
  redact_keys(configuration);
  return json::serialize(configuration);
}

auto decode(const std::string& customers) {
  return ConfigurationReader().decode(
      {"config", "main", 9, redacted(customers)});
}

// Guards against keys in the memory, the snapshots and the messages of daemons.
Test(customer_reader, keys_are_replaced_by_digests) {
  const std::string text =
      redacted(R"([{"Name":"a","ApiKeys":["secret1","secret2"]}])");
  cr_assert(text.find("secret") == std::string::npos);
  cr_assert(text.find("ApiKeys") == std::string::npos);
}

Test(customer_reader, reads_customers_with_keys_and_limits) {
  const auto table =
      decode(R"([{"Name":"a","ApiKeys":["k1","k2"],"Priority":3},)"
             R"({"Name":"b","ApiKeys":["k3"],"RatePerS":4.5,"Burst":7}])");
  cr_assert(table.has_value());
  const customers::CustomerTable& all = *(*table)->customers();
  cr_assert(all.find_by_key("k2")->name == "a");
  cr_assert(all.find_by_key("k2")->priority == 3U);
  cr_assert(!all.find_by_key("k2")->limit.is_limited());
  const customers::Customer* b = all.find_by_key("k3");
  cr_assert(!b->priority && b->limit == customers::RateLimit({4.5, 7}));
  cr_assert(all.odd_entries() == 0);
}

// Guards against a daemon that gets no configuration from peers of an older
// build, which know nothing of digests.
Test(customer_reader, keys_that_a_peer_passed_on_are_read) {
  const auto table = ConfigurationReader().decode(
      {"config", "main", 9,
       R"({"Version":7,"Routes":[],"Services":[],"Limits":{)"
       R"("MaxHeaderBytes":16384,"MaxBodyBytes":262144,)"
       R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
       R"("Tenants":[{"Name":"a","ApiKeys":["k1"]}]})"});
  cr_assert(table.has_value());
  cr_assert((*table)->customers()->find_by_key("k1")->name == "a");
}

// Guards against one odd entry that keeps a whole version from taking effect.
Test(customer_reader, odd_entries_are_counted_and_left_out) {
  const auto table =
      decode(R"([7,{"ApiKeys":["k1"]},{"Name":"a","ApiKeys":["k2",8,null]},)"
             R"({"Name":"b","ApiKeys":"k3"},{"Name":"c","RatePerS":"x",)"
             R"("ApiKeys":["k4"]},{"Name":"d","Priority":-1,"ApiKeys":["k5"]},)"
             R"({"Name":"e"},{"Name":"f","RatePerS":-2,"ApiKeys":["k6"]}])");
  cr_assert(table.has_value());
  const customers::CustomerTable& all = *(*table)->customers();
  cr_assert(all.find_by_key("k2") && all.find_by_key("k4"));
  cr_assert(all.find_by_key("k5") && all.find_by_key("k6"));
  cr_assert(!all.find_by_key("k1") && !all.find_by_key("k3"));
  cr_assert(all.find_by_name("e"));
  cr_assert(all.odd_entries() > 0);
}

Test(customer_reader, many_customers_are_read) {
  constexpr int kCustomers = 100'000;
  std::string list = "[";
  for (int i = 0; i < kCustomers; ++i) {
    const std::string number = std::to_string(i);
    list += (i > 0 ? "," : "") + (R"({"Name":"c)" + number) +
            R"(","ApiKeys":["k)" + number + R"("]})";
  }
  const auto table = decode(list + "]");
  cr_assert((*table)->customers()->size() == kCustomers);
  cr_assert((*table)->customers()->find_by_key("k99999")->name == "c99999");
}

Test(customer_reader, a_configuration_without_the_list_has_no_customers) {
  cr_assert(!(*decode("null"))->customers());
  const auto empty = decode("[]");
  cr_assert((*empty)->customers() && (*empty)->customers()->size() == 0);
}

Test(customer_reader, a_list_that_cant_be_read_refuses_the_version) {
  cr_assert(!decode("7").has_value());
  cr_assert(!decode("{}").has_value());
}

}  // namespace
}  // namespace ibismux::users_platform
