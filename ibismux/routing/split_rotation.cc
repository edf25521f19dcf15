#include "ibismux/routing/split_rotation.h"

#include <algorithm>

namespace ibismux::routing {

bool SplitRotation::is_for(const std::vector<WeightedService>& split) const {
  return std::equal(this->parts.begin(), this->parts.end(), split.begin(),
                    split.end(), [](const Part& part, const auto& target) {
                      return part.service == target.service &&
                             part.weight == target.weight;
                    });
}

const std::string& SplitRotation::next(
    const std::vector<WeightedService>& split) {
  if (!this->is_for(split)) {
    this->parts.clear();
    for (const WeightedService& target : split) {
      this->parts.push_back({target.service, target.weight, 0});
    }
  }
  double total = 0;
  for (Part& part : this->parts) {
    part.credit += part.weight;
    total += part.weight;
  }
  const auto chosen = std::max_element(
      this->parts.begin(), this->parts.end(),
      [](const Part& a, const Part& b) { return a.credit < b.credit; });
  chosen->credit -= total;
  return chosen->service;
}

}  // namespace ibismux::routing
