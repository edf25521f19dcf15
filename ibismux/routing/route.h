#ifndef IBISMUX_ROUTING_ROUTE_H_
#define IBISMUX_ROUTING_ROUTE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace ibismux::routing {

/// Whether a request may be executed more than once.
enum class Repeatability : unsigned char { kIdempotent, kAtMostOnce };

/// One target of a weighted split.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Target and limits of the requests for one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  Repeatability repeatability = Repeatability::kAtMostOnce;

  /// Upper bound on the time to the final answer, even if the caller's deadline
  /// is later.
  std::chrono::milliseconds time_limit{0};
  /// Latency objective; later answers are worth less to the caller.
  std::chrono::milliseconds objective{0};
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  /// Maximum number of leafs that a request, or each of its shards, is sent to.
  std::uint32_t max_attempts = 1;
  /// Requests need no API key.
  bool is_public = false;
  /// Regions that requests may be sent to. Empty: all of them.
  std::vector<std::string> allowed_regions;

  /// @name Target: exactly one of the two is not empty
  /// @{
  std::vector<WeightedService> split;  ///< One entry: no split.
  std::vector<std::string> shards;     ///< Services; a query calls all.
  /// @}

  /// @name Queries over shards
  /// @{
  std::size_t top_records = 0;
  double minimum_coverage = 1;  ///< Share of the shards that must answer.
  /// @}

  [[nodiscard]] bool is_scatter() const noexcept {
    return !this->shards.empty();
  }
  /// The services that its requests may need.
  [[nodiscard]] std::vector<std::string> services() const {
    std::vector<std::string> services = this->shards;
    for (const WeightedService& target : this->split) {
      services.push_back(target.service);
    }
    return services;
  }
  [[nodiscard]] bool is_idempotent() const noexcept {
    return this->repeatability == Repeatability::kIdempotent;
  }
};

}  // namespace ibismux::routing

#endif  // IBISMUX_ROUTING_ROUTE_H_
