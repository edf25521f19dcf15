#include "ibismux/dispatch/answer_timing.h"

#include <algorithm>
#include <chrono>

namespace ibismux::dispatch {

namespace {

// As a part of the objective: the rest is for the request's way here, the
// answer's way back, 1 to 3 ms each, and what this daemon itself takes.
constexpr double kDue = 0.78;
// What a new connection takes at a distant caller: one way more in each
// direction.
constexpr std::chrono::milliseconds kHandshake{6};
// Of the time that sending the calls took.
constexpr double kAnswering = 0.2;
// However short the objective, this part of it is for the shards.
constexpr double kLeastForShards = 0.5;

}  // namespace

TimePoint answer_due(TimePoint received,
                     Duration objective,
                     bool opens_connection) noexcept {
  const Duration due =
      scaled(objective, kDue) -
      (opens_connection ? Duration(kHandshake) : Duration::zero());
  return received + std::max(due, scaled(objective, kLeastForShards));
}

Duration time_to_answer(Duration sending) noexcept {
  return scaled(sending, kAnswering);
}

}  // namespace ibismux::dispatch
