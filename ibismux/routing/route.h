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

/// Where requests of one host and path prefix go, and on what terms.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  Repeatability repeatability = Repeatability::kAtMostOnce;

  /// A request has its final answer by then, whatever its caller allows.
  std::chrono::milliseconds time_limit{0};
  /// An answer within this time is worth most to the caller.
  std::chrono::milliseconds objective{0};
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  /// Most leafs that one request, or one shard of it, is sent to.
  std::uint32_t max_attempts = 1;
  /// Regions that requests may be sent to. Empty: all of them.
  std::vector<std::string> allowed_regions;

  /// @name Target: exactly one of the two is not empty
  /// @{
  std::vector<WeightedService> split;  ///< One entry: no split.
  std::vector<std::string> shards;     ///< A query over all of these services.
  /// @}

  /// @name Queries over shards
  /// @{
  std::size_t top_records = 0;
  double minimum_coverage = 1;  ///< Share of the shards that must be in.
  /// @}

  [[nodiscard]] bool is_scatter() const noexcept {
    return !this->shards.empty();
  }
  [[nodiscard]] bool is_idempotent() const noexcept {
    return this->repeatability == Repeatability::kIdempotent;
  }
};

}  // namespace ibismux::routing

#endif  // IBISMUX_ROUTING_ROUTE_H_
