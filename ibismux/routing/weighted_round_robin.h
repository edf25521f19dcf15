#ifndef IBISMUX_ROUTING_WEIGHTED_ROUND_ROBIN_H_
#define IBISMUX_ROUTING_WEIGHTED_ROUND_ROBIN_H_

#include <string>
#include <vector>

#include "ibismux/routing/route.h"

namespace ibismux::routing {

/// Assigns requests of one route to the services of its split, in proportion
/// to their weights.
///
/// Uses smooth weighted round robin: over any number of consecutive requests,
/// the counts are as close to the weights as whole requests allow. A random
/// choice would sometimes be off by more than a tenth over 300 requests. Each
/// daemon distributes its own requests; as the shares hold at each daemon, they
/// hold for the whole fleet.
///
/// Not thread safe.
class WeightedRoundRobin {
 public:
  /// Returns the service for the next request. If `split` differs from that of
  /// the last call, a new rotation starts. Precondition: `split` is not empty.
  [[nodiscard]] const std::string& next(
      const std::vector<WeightedService>& split);

 private:
  struct Part {
    std::string service;
    double weight;
    double current_weight;
  };

  [[nodiscard]] bool matches(const std::vector<WeightedService>& split) const;

  std::vector<Part> parts;
};

}  // namespace ibismux::routing

#endif  // IBISMUX_ROUTING_WEIGHTED_ROUND_ROBIN_H_
