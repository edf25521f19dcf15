#include "platform/configuration_reader.h"

#include <criterion/criterion.h>

namespace ibismux::users_platform {
namespace {

const std::string kLimits =
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,)"
    R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000})";

std::string configuration(const std::string& routes,
                          const std::string& limits = kLimits) {
  return R"({"Version":7,"Routes":[)" + routes +
         R"(],"Services":[{"Name":"desk","HealthPath":"/h","MaxConns":26}],)" +
         limits + "}";
}

std::string route(const std::string& target,
                  const std::string& type = "idempotent") {
  return R"({"Name":"r","Host":"a.example","PathPrefix":"/p/","Type":")" +
         type +
         R"(","TimeoutMs":400,"TargetLatencyMs":80,"Priority":1,)"
         R"("MaxAttempts":2,)" +
         target + "}";
}

auto decode(const std::string& text) {
  return ConfigurationReader().decode({"config", "main", 9, text});
}

std::string error_of(const std::string& text) {
  const auto table = decode(text);
  return table ? "" : table.error().message;
}

Test(configuration_reader, a_route_to_one_service) {
  const auto table = decode(configuration(route(R"("Service":"desk")")));
  cr_assert(table.has_value());
  cr_assert((*table)->version() == 7);
  const routing::Route* found = (*table)->find("a.example", "/p/1");
  cr_assert(found && found->split.front().service == "desk");
  cr_assert(found->is_idempotent() && found->max_attempts == 2);
  cr_assert(found->time_limit == std::chrono::milliseconds(400));
  cr_assert(found->objective == std::chrono::milliseconds(80));
  cr_assert((*table)->service("desk")->leaf_connections == 26);
  cr_assert((*table)->limits().idle_timeout ==
            std::chrono::milliseconds(15000));
}

Test(configuration_reader, a_weighted_split) {
  const auto table = decode(
      configuration(route(R"("TrafficSplit":[{"Service":"a","Weight":9},)"
                          R"({"Service":"b","Weight":0.5}])")));
  cr_assert(table.has_value());
  const auto& split = (*table)->routes().front().split;
  cr_assert(split.size() == 2 && split[1].weight == 0.5);
}

Test(configuration_reader, a_query_over_shards) {
  const auto table = decode(configuration(
      route(R"("Gather":["a","b"],"TopK":10,"MinCoverage":0.89)")));
  cr_assert(table.has_value());
  const routing::Route& query = (*table)->routes().front();
  cr_assert(query.is_scatter() && query.shards.size() == 2);
  cr_assert(query.top_records == 10 && query.minimum_coverage == 0.89);
}

Test(configuration_reader, regions_of_a_route) {
  const auto regions = [](const std::string& value) {
    const auto table = decode(
        configuration(route(R"("Service":"desk","AllowedRegions":)" + value)));
    cr_assert(table.has_value());
    return (*table)->routes().front().allowed_regions;
  };
  cr_assert(regions(R"(["north","south"])") ==
            std::vector<std::string>({"north", "south"}));
  cr_assert(regions("[]").empty());
  cr_assert(regions("null").empty());
}

Test(configuration_reader, regions_that_cant_be_read_are_refused) {
  for (const char* odd : {"\"north\"", "[1]", "{}", "[null]"}) {
    const std::string error = error_of(configuration(
        route(std::string(R"("Service":"desk","AllowedRegions":)") + odd)));
    cr_assert(error.find("AllowedRegions") != std::string::npos, "%s", odd);
  }
}

Test(configuration_reader, what_may_run_once_only) {
  const auto table =
      decode(configuration(route(R"("Service":"desk")", "non_idempotent")));
  cr_assert(!(*table)->routes().front().is_idempotent());
}

// Failure: a version that can't be read takes effect in part.
Test(configuration_reader, what_is_wrong_is_refused_and_named) {
  cr_assert(error_of("") == "the configuration is no object");
  cr_assert(error_of("[1]") == "the configuration is no object");
  cr_assert(error_of("{}").find("Version") != std::string::npos);
  cr_assert(error_of(configuration(route(R"("Service":7)")))
                .find("Routes[0].Service") != std::string::npos);
  cr_assert(error_of(configuration(route(R"("Service":"a")", "sometimes")))
                .find("Routes[0].Type") != std::string::npos);
  cr_assert(error_of(configuration(route(R"("Gather":[1])"))).find("Gather") !=
            std::string::npos);
  cr_assert(error_of(configuration(route(R"("Gather":[])"))).find("TopK") !=
            std::string::npos);
  cr_assert(error_of(configuration(route(R"("TrafficSplit":[{}])")))
                .find("TrafficSplit") != std::string::npos);
  cr_assert(error_of(configuration("3")) == "Routes[0] is no object");
  cr_assert(error_of(configuration(route(R"("Service":"a")"),
                                   R"("Limits":{"MaxBodyBytes":-1})"))
                .find("Limits") != std::string::npos);
}

Test(configuration_reader, unknown_keys_are_passed_over) {
  cr_assert(decode(configuration(route(R"("Service":"desk","Later":{"a":1})")))
                .has_value());
}

}  // namespace
}  // namespace ibismux::users_platform
