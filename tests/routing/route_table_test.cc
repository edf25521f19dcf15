#include "ibismux/routing/route_table.h"

#include <criterion/criterion.h>

namespace ibismux::routing {
namespace {

Route route(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  route.split.push_back({"desk", 1});
  return route;
}

RouteTable table() {
  return RouteTable(
      3,
      {route("all", "a.example", "/"), route("pages", "a.example", "/pages/"),
       route("deep", "a.example", "/pages/engines/"),
       route("other", "b.example", "/pages/")},
      {{"desk", 26}}, {});
}

std::string matched_route(std::string_view host, std::string_view path) {
  const RouteTable all = table();
  const Route* route = all.find(host, path);
  return route ? route->name : "none";
}

Test(route_table, the_longest_prefix_of_the_host_wins) {
  cr_assert(matched_route("a.example", "/pages/engines/7") == "deep");
  cr_assert(matched_route("a.example", "/pages/7") == "pages");
  cr_assert(matched_route("a.example", "/x") == "all");
  cr_assert(matched_route("b.example", "/pages/engines/7") == "other");
}

Test(route_table, a_prefix_ends_at_a_slash) {
  cr_assert(matched_route("a.example", "/pagesx/7") == "all");
  cr_assert(matched_route("b.example", "/pages") == "none");
}

Test(route_table, the_case_of_a_host_does_not_matter) {
  cr_assert(matched_route("A.Example", "/pages/7") == "pages");
}

Test(route_table, a_request_without_matching_route_finds_none) {
  cr_assert(matched_route("c.example", "/pages/7") == "none");
  cr_assert(matched_route("b.example", "") == "none");
  cr_assert(matched_route("", "/") == "none");
}

Test(route_table, services_are_found_by_name) {
  const RouteTable all = table();
  cr_assert(all.service("desk")->leaf_connections == 26);
  cr_assert(all.service("nobody") == nullptr);
}

}  // namespace
}  // namespace ibismux::routing
