#include "ibismux/concurrency/aimd_limit.h"

#include <algorithm>

namespace ibismux::concurrency {

namespace {

constexpr double kDecreaseFactor = 0.7;
/// The limit rises by 1 after this multiple of `limit` answers.
constexpr double kRoundsPerIncrease = 2.0;

}  // namespace

AimdLimit::AimdLimit(std::size_t slots, double ceiling)
    : slots(static_cast<double>(std::max<std::size_t>(slots, 1))),
      ceiling(ceiling),
      current(this->slots) {}

void AimdLimit::on_answer(Duration leaf_time,
                          std::size_t in_flight,
                          TimePoint /*now*/) {
  this->mean_leaf_time.add(leaf_time);
  const bool limit_reached = static_cast<double>(in_flight) + 1 > this->current;
  if (limit_reached) {
    this->current =
        std::min(this->current + 1.0 / (kRoundsPerIncrease * this->current),
                 this->max_limit());
  }
}

void AimdLimit::on_overload(TimePoint now) {
  if (now - this->lowered_at < this->mean_leaf_time.value()) {
    return;
  }
  this->lowered_at = now;
  this->current = std::max(1.0, this->current * kDecreaseFactor);
}

void AimdLimit::on_cold() {
  this->current = 1.0;
}

void AimdLimit::set_slots(std::size_t slots) {
  const double new_slots = static_cast<double>(std::max<std::size_t>(slots, 1));
  if (new_slots == this->slots) {
    return;
  }
  this->slots = new_slots;
  this->current = new_slots;
}

}  // namespace ibismux::concurrency
