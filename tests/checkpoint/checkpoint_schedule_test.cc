#include "ibismux/checkpoint/checkpoint_schedule.h"

#include <criterion/criterion.h>

namespace ibismux::checkpoint {
namespace {

using State = CheckpointSchedule::State;
constexpr auto kInterval = CheckpointSchedule::kMinInterval;
constexpr State kWriter{.is_writer = true, .is_complete = true};

struct Fixture {
  TimePoint now = Clock::now();
  CheckpointSchedule schedule{now};

  bool is_due(State state = kWriter) {
    return this->schedule.is_due(state, this->now);
  }
};

// The load: leafs that are replaced one after the other.
Test(checkpoint_schedule, many_changes_cause_one_write_each_interval) {
  Fixture fixture;
  fixture.now += kInterval;
  int writes = 0;
  for (int i = 0; i < 20; ++i) {
    fixture.schedule.on_change();
    if (fixture.is_due()) {
      fixture.schedule.on_stored(fixture.now);
      ++writes;
    }
    fixture.now += std::chrono::seconds(1);
  }
  cr_assert(writes == 4);
}

// Guards against replacing the last good state by the first listing after a
// loss of the registry's entries.
Test(checkpoint_schedule, nothing_is_written_just_after_the_start) {
  Fixture fixture;
  fixture.schedule.on_change();
  cr_assert(!fixture.is_due());
  fixture.now += kInterval;
  cr_assert(fixture.is_due());
}

// Guards against replacing the last good state just after an outage, when some
// leafs have written their entries again.
Test(checkpoint_schedule, nothing_is_written_just_after_an_incomplete_state) {
  Fixture fixture;
  fixture.now += 2 * kInterval;
  fixture.schedule.on_change();
  fixture.schedule.on_state({.is_writer = true, .is_complete = false},
                            fixture.now);
  cr_assert(!fixture.is_due());
  fixture.now += kInterval;
  cr_assert(fixture.is_due());
}

// Guards against replacing the last good state during an outage.
Test(checkpoint_schedule, only_the_writer_writes_and_only_complete_states) {
  Fixture fixture;
  fixture.now += kInterval;
  fixture.schedule.on_change();
  cr_assert(!fixture.is_due({.is_writer = false, .is_complete = true}));
  cr_assert(!fixture.is_due({.is_writer = true, .is_complete = false}));
  cr_assert(fixture.is_due());
}

Test(checkpoint_schedule, without_a_change_nothing_is_written) {
  Fixture fixture;
  fixture.now += kInterval;
  cr_assert(!fixture.is_due());
  fixture.schedule.on_change();
  fixture.schedule.on_stored(fixture.now);
  fixture.now += kInterval;
  cr_assert(!fixture.is_due());
}

Test(checkpoint_schedule, a_failure_is_retried_after_the_interval) {
  Fixture fixture;
  fixture.now += kInterval;
  fixture.schedule.on_change();
  fixture.schedule.on_failure(fixture.now);
  cr_assert(!fixture.is_due());
  fixture.now += kInterval;
  cr_assert(fixture.is_due());
}

}  // namespace
}  // namespace ibismux::checkpoint
