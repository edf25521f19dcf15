// The timing is designed for objectives of 40 ms, callers with a one-way delay
// of 3 ms, and queries over 90 shards of which three or four pause at any
// moment, so that nearly all answers wait until they are due. A third of the
// requests open a connection.

#include "ibismux/dispatch/answer_timing.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOneWayDelay{3};

/// Returns how long the caller has waited when the answer arrives, if the
/// answer is sent when it is due.
Duration waited(milliseconds objective, bool opens_connection) {
  const TimePoint received{};
  const Duration until_due =
      answer_due(received, objective, opens_connection) - received;
  return until_due + 2 * kOneWayDelay +
         (opens_connection ? 2 * kOneWayDelay : milliseconds(0));
}

Test(answer_timing, an_answer_sent_when_due_reaches_its_caller_in_time) {
  for (const milliseconds objective :
       {milliseconds(40), milliseconds(80), milliseconds(200)}) {
    for (const bool opens : {false, true}) {
      // The daemon needs two milliseconds to assemble the answer.
      cr_assert(waited(objective, opens) <= objective - milliseconds(2));
    }
  }
}

Test(answer_timing, an_open_connection_leaves_more_time_for_the_shards) {
  const TimePoint received{};
  cr_assert(answer_due(received, milliseconds(40), false) -
                answer_due(received, milliseconds(40), true) ==
            2 * kOneWayDelay);
}

Test(answer_timing, a_short_objective_leaves_half_of_it_to_the_shards) {
  const TimePoint received{};
  cr_assert(answer_due(received, milliseconds(10), true) - received ==
            milliseconds(5));
}

// Guards against answers that are late by the time needed to assemble them.
Test(answer_timing, a_slow_host_starts_assembling_earlier) {
  cr_assert(answer_assembly_time(milliseconds(9)) >= milliseconds(1));
  cr_assert(answer_assembly_time(std::chrono::microseconds(500)) <=
            std::chrono::microseconds(100));
}

}  // namespace
}  // namespace ibismux::dispatch
