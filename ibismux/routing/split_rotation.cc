#include "ibismux/routing/split_rotation.h"

#include <algorithm>

namespace ibismux::routing {

bool SplitRotation::matches(const std::vector<WeightedService>& split) const {
  return std::equal(this->targets.begin(), this->targets.end(), split.begin(),
                    split.end(), [](const Target& current, const auto& target) {
                      return current.service == target.service &&
                             current.weight == target.weight;
                    });
}

const std::string& SplitRotation::next(
    const std::vector<WeightedService>& split) {
  if (!this->matches(split)) {
    this->targets.clear();
    for (const WeightedService& target : split) {
      this->targets.push_back({target.service, target.weight, 0});
    }
  }
  double total = 0;
  for (Target& current : this->targets) {
    current.current_weight += current.weight;
    total += current.weight;
  }
  const auto chosen =
      std::max_element(this->targets.begin(), this->targets.end(),
                       [](const Target& a, const Target& b) {
                         return a.current_weight < b.current_weight;
                       });
  chosen->current_weight -= total;
  return chosen->service;
}

}  // namespace ibismux::routing
