#include "ibismux/dispatch/answer_timing.h"

#include <algorithm>
#include <chrono>

namespace ibismux::dispatch {

namespace {

// Fraction of the objective after which the answer is due. The rest covers the
// network, 1 to 3 ms in each direction, and the processing time of this daemon.
constexpr double kDueFraction = 0.78;
// Time to set up a connection from a distant caller: one additional round trip.
constexpr std::chrono::milliseconds kConnectionSetup{6};
// Time to assemble the answer, as a fraction of the time spent sending the
// calls.
constexpr double kAssemblyFraction = 0.2;
// Fraction of the objective that is always left to the shards, however short
// the objective is.
constexpr double kMinShardFraction = 0.5;

}  // namespace

TimePoint answer_due(TimePoint received,
                     Duration objective,
                     bool opens_connection) noexcept {
  const Duration due =
      scaled(objective, kDueFraction) -
      (opens_connection ? Duration(kConnectionSetup) : Duration::zero());
  return received + std::max(due, scaled(objective, kMinShardFraction));
}

Duration answer_assembly_time(Duration send_time) noexcept {
  return scaled(send_time, kAssemblyFraction);
}

}  // namespace ibismux::dispatch
