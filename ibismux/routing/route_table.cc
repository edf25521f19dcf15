#include "ibismux/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace ibismux::routing {

namespace {

std::string lower_case(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

}  // namespace

RouteTable::RouteTable(
    std::uint64_t version,
    std::vector<Route> routes,
    std::vector<ServiceSpec> services,
    CallerLimits limits,
    std::shared_ptr<const customers::CustomerTable> customers)
    : table_version(version),
      all_routes(std::move(routes)),
      caller_limits(limits),
      customer_table(std::move(customers)) {
  for (std::size_t i = 0; i < this->all_routes.size(); ++i) {
    const Route& route = this->all_routes[i];
    this->by_host[lower_case(route.host)].emplace(route.path_prefix, i);
  }
  for (ServiceSpec& service : services) {
    const std::string name = service.name;
    this->services.emplace(name, std::move(service));
  }
}

const Route* RouteTable::find(std::string_view host,
                              std::string_view path) const {
  const auto host_routes = this->by_host.find(lower_case(host));
  if (host_routes == this->by_host.end()) {
    return nullptr;
  }
  // Looks up ever shorter prefixes that end at a slash, so that the cost
  // depends on the depth of the path and not on the number of routes.
  std::string prefix(path);
  while (!prefix.empty()) {
    if (prefix.back() == '/') {
      const auto found = host_routes->second.find(prefix);
      if (found != host_routes->second.end()) {
        return &this->all_routes[found->second];
      }
    }
    prefix.pop_back();
  }
  return nullptr;
}

const ServiceSpec* RouteTable::service(std::string_view name) const {
  const auto found = this->services.find(name);
  return found == this->services.end() ? nullptr : &found->second;
}

}  // namespace ibismux::routing
