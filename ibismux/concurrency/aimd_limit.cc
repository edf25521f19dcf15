#include "ibismux/concurrency/aimd_limit.h"

#include <algorithm>

namespace ibismux::concurrency {

namespace {

constexpr double kDecrease = 0.7;
/// The limit rises by 1 after this multiple of `limit` answers.
constexpr double kRoundsToRise = 2.0;

}  // namespace

AimdLimit::AimdLimit(std::size_t slots, double ceiling)
    : slots(static_cast<double>(std::max<std::size_t>(slots, 1))),
      ceiling(ceiling),
      current(this->slots) {}

void AimdLimit::on_answer(Duration leaf_time,
                          std::size_t in_flight,
                          TimePoint /*now*/) {
  this->typical.add(leaf_time);
  const bool held_back = static_cast<double>(in_flight) + 1 > this->current;
  if (held_back) {
    this->current = std::min(
        this->current + 1.0 / (kRoundsToRise * this->current), this->most());
  }
}

void AimdLimit::on_overload(TimePoint now) {
  if (now - this->lowered_at < this->typical.value()) {
    return;
  }
  this->lowered_at = now;
  this->current = std::max(1.0, this->current * kDecrease);
}

void AimdLimit::on_cold() {
  this->current = 1.0;
}

void AimdLimit::declare(std::size_t slots) {
  const double fresh = static_cast<double>(std::max<std::size_t>(slots, 1));
  if (fresh == this->slots) {
    return;
  }
  this->slots = fresh;
  this->current = fresh;
}

}  // namespace ibismux::concurrency
