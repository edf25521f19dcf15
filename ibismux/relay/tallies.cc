#include "ibismux/relay/tallies.h"

namespace ibismux::relay {

void Tallies::add(Generation generation, std::size_t members) {
  if (members == 0) {
    return;
  }
  this->by_generation[generation] += members;
  if (this->by_generation.size() > kMaxGenerations) {
    const auto lowest = this->by_generation.begin();
    const auto second = std::next(lowest);
    lowest->second += second->second;
    this->by_generation.erase(second);
  }
}

void Tallies::add(const Tallies& other) {
  for (const auto& [generation, members] : other.by_generation) {
    this->add(generation, members);
  }
}

std::size_t Tallies::reached(Generation generation) const {
  std::size_t count = 0;
  for (auto at = this->by_generation.lower_bound(generation);
       at != this->by_generation.end(); ++at) {
    count += at->second;
  }
  return count;
}

std::size_t Tallies::members() const {
  return this->reached(0);
}

}  // namespace ibismux::relay
