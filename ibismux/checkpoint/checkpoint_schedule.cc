#include "ibismux/checkpoint/checkpoint_schedule.h"

#include <algorithm>

namespace ibismux::checkpoint {

void CheckpointSchedule::on_state(const State& state, TimePoint now) noexcept {
  if (!state.is_complete) {
    this->not_before = std::max(this->not_before, now + kMinInterval);
  }
}

void CheckpointSchedule::on_stored(TimePoint now) noexcept {
  this->changed = false;
  this->not_before = now + kMinInterval;
}

void CheckpointSchedule::on_failure(TimePoint now) noexcept {
  this->changed = true;
  this->not_before = now + kMinInterval;
}

bool CheckpointSchedule::is_due(const State& state,
                                TimePoint now) const noexcept {
  return this->changed && state.is_writer && state.is_complete &&
         now >= this->not_before;
}

}  // namespace ibismux::checkpoint
