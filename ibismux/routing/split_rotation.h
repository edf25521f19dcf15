#ifndef IBISMUX_ROUTING_SPLIT_ROTATION_H_
#define IBISMUX_ROUTING_SPLIT_ROTATION_H_

#include <string>
#include <vector>

#include "ibismux/routing/route.h"

namespace ibismux::routing {

/// Deals the requests of one route to the services of its split, in proportion
/// to their weights.
///
/// Smooth weighted round robin: each run of requests, however short, is as near
/// to the weights as whole requests can be. Drawn at random, 300 requests would
/// lie further off than a tenth now and then. Each daemon deals its own
/// requests; shares that hold at each hold over all.
///
/// Not thread safe.
class SplitRotation {
 public:
  /// The next target. Precondition: `split` is not empty. Another split than at
  /// the last call begins a new rotation.
  [[nodiscard]] const std::string& next(
      const std::vector<WeightedService>& split);

 private:
  struct Part {
    std::string service;
    double weight;
    double credit;
  };

  [[nodiscard]] bool is_for(const std::vector<WeightedService>& split) const;

  std::vector<Part> parts;
};

}  // namespace ibismux::routing

#endif  // IBISMUX_ROUTING_SPLIT_ROTATION_H_
