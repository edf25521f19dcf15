#include "ibismux/routing/weighted_round_robin.h"

#include <algorithm>

namespace ibismux::routing {

bool WeightedRoundRobin::matches(
    const std::vector<WeightedService>& split) const {
  return std::equal(this->parts.begin(), this->parts.end(), split.begin(),
                    split.end(), [](const Part& part, const auto& target) {
                      return part.service == target.service &&
                             part.weight == target.weight;
                    });
}

const std::string& WeightedRoundRobin::next(
    const std::vector<WeightedService>& split) {
  if (!this->matches(split)) {
    this->parts.clear();
    for (const WeightedService& target : split) {
      this->parts.push_back({target.service, target.weight, 0});
    }
  }
  double total = 0;
  for (Part& part : this->parts) {
    part.current_weight += part.weight;
    total += part.weight;
  }
  const auto chosen = std::max_element(
      this->parts.begin(), this->parts.end(), [](const Part& a, const Part& b) {
        return a.current_weight < b.current_weight;
      });
  chosen->current_weight -= total;
  return chosen->service;
}

}  // namespace ibismux::routing
