#ifndef APPS_IBISMUX_LOAD_ARRIVALS_H_
#define APPS_IBISMUX_LOAD_ARRIVALS_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

#include "apps/ibismux-load/experiment.h"

namespace ibismux::load {

/// One request to come.
struct Arrival {
  Duration at{0};           ///< Since the start of the run.
  std::size_t service = 0;  ///< Position in `Experiment::services`.
};

/// Poisson arrivals of all services together, at the rates of the phases.
///
/// Open loop: what is answered has no part in when the next request comes. Not
/// thread safe.
class Arrivals {
 public:
  /// @param share Of the rates, 0 to 1: each worker generates its part.
  /// @param experiment Outlives this.
  Arrivals(const Experiment& experiment, double share, std::uint64_t seed);

  /// The next request, or nothing once the last phase is over.
  [[nodiscard]] std::optional<Arrival> next();

 private:
  void enter_phase(std::size_t index);

  const Experiment& experiment;
  double share;
  pcg64 random;
  std::size_t phase = 0;
  Duration now{0};
  Duration phase_end{0};
  std::vector<double> cumulative;  ///< Rates summed up, service by service.
};

}  // namespace ibismux::load

#endif  // APPS_IBISMUX_LOAD_ARRIVALS_H_
