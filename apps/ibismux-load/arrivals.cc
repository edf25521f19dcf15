#include "apps/ibismux-load/arrivals.h"

#include <algorithm>
#include <random>

namespace ibismux::load {

Arrivals::Arrivals(const Experiment& experiment,
                   double share,
                   std::uint64_t seed)
    : experiment(experiment), share(share), random(seed) {
  this->enter_phase(0);
}

void Arrivals::enter_phase(std::size_t index) {
  this->phase = index;
  this->cumulative.clear();
  if (index >= this->experiment.phases.size()) {
    return;
  }
  const Phase& phase = this->experiment.phases[index];
  this->phase_end += phase.length;
  double sum = 0;
  for (const ServiceLoad& service : this->experiment.services) {
    sum += service.rate * phase.factor_of(service.group) * this->share;
    this->cumulative.push_back(sum);
  }
}

std::optional<Arrival> Arrivals::next() {
  while (this->phase < this->experiment.phases.size()) {
    const double rate = this->cumulative.back();
    if (rate > 0) {
      const std::chrono::duration<double> gap(
          std::exponential_distribution<>(rate)(this->random));
      this->now += std::chrono::duration_cast<Duration>(gap);
    }
    if (rate <= 0 || this->now >= this->phase_end) {
      // Exponential gaps have no memory: the next phase starts afresh.
      this->now = this->phase_end;
      this->enter_phase(this->phase + 1);
      continue;
    }
    const double point =
        std::uniform_real_distribution<>(0, rate)(this->random);
    const auto chosen = std::upper_bound(this->cumulative.begin(),
                                         this->cumulative.end(), point);
    const auto service = std::min<std::ptrdiff_t>(
        chosen - this->cumulative.begin(),
        static_cast<std::ptrdiff_t>(this->cumulative.size()) - 1);
    return Arrival{this->now, static_cast<std::size_t>(service)};
  }
  return std::nullopt;
}

}  // namespace ibismux::load
