#ifndef IBISMUX_ROUTING_ROUTE_TABLE_H_
#define IBISMUX_ROUTING_ROUTE_TABLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ibismux/customers/customer_table.h"
#include "ibismux/routing/route.h"

namespace ibismux::routing {

/// Configuration of one service.
struct ServiceSpec {
  std::string name;
  /// Connections that one leaf accepts from all daemons together; 0: unknown.
  std::uint32_t leaf_connections = 0;
  /// How long a leaf is cold after its start.
  std::chrono::milliseconds warmup{0};
  /// Requests per second that a cold leaf can handle from all daemons together;
  /// 0: no known limit.
  double warmup_rate = 0;
};

/// Size limits and timeouts for the connections of callers.
struct CallerLimits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 1024 * 1024;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds idle_timeout{60'000};
};

/// The routes and services of one version of the configuration. Immutable; a
/// request keeps the table that it started with, so that all of its shards are
/// routed by the same version.
class RouteTable {
 public:
  RouteTable(std::uint64_t version,
             std::vector<Route> routes,
             std::vector<ServiceSpec> services,
             CallerLimits limits,
             std::shared_ptr<const customers::CustomerTable> customers = {});

  [[nodiscard]] std::uint64_t version() const noexcept {
    return this->table_version;
  }
  [[nodiscard]] const std::vector<Route>& routes() const noexcept {
    return this->all_routes;
  }
  [[nodiscard]] const CallerLimits& limits() const noexcept {
    return this->caller_limits;
  }
  /// The customers whose requests are served on routes that aren't public;
  /// null: requests need no key.
  [[nodiscard]] const customers::CustomerTable* customers() const noexcept {
    return this->customer_table.get();
  }

  /// The route of `host` with the longest prefix of `path`, or null.
  /// Thread safe.
  /// @param host Without a port; case-insensitive.
  /// @param path Without the query part.
  [[nodiscard]] const Route* find(std::string_view host,
                                  std::string_view path) const;

  /// The configuration of service `name`, or null. Thread safe.
  [[nodiscard]] const ServiceSpec* service(std::string_view name) const;

 private:
  std::uint64_t table_version;
  std::vector<Route> all_routes;
  std::map<std::string, ServiceSpec, std::less<>> services;
  CallerLimits caller_limits;
  std::shared_ptr<const customers::CustomerTable> customer_table;
  /// Maps the lower-case host and then the path prefix to the index in
  /// `all_routes`.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      by_host;
};

}  // namespace ibismux::routing

#endif  // IBISMUX_ROUTING_ROUTE_TABLE_H_
