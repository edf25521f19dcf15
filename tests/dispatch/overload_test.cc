#include <boost/asio/io_context.hpp>

#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

// Behavior when callers send more requests than the leafs can handle.

namespace ibismux::dispatch {
namespace {

using std::chrono::milliseconds;
using testing::Behaviour;
using testing::DispatchFixture;

constexpr int kBurstSize = 300;

std::string name(int number) {
  return "q" + std::to_string(number);
}

bool has_ended(const DispatchFixture& fixture, int count) {
  return fixture.outcomes.size() >= static_cast<std::size_t>(count);
}

void slow_down(DispatchFixture& fixture, milliseconds work) {
  for (std::size_t i = 1; i <= DispatchFixture::kShards; ++i) {
    Behaviour behaviour;
    behaviour.work = work;
    fixture.set_behaviour_of_service("s" + std::to_string(i), behaviour);
  }
}

/// Starts, at once, queries that keep the leafs busy for some seconds.
void begin_burst(DispatchFixture& fixture) {
  for (int i = 0; i < kBurstSize; ++i) {
    fixture.begin(name(i), "/query/1");
  }
}

bool answered(const DispatchFixture& fixture, int number) {
  return fixture.outcomes.at(name(number)).has_value();
}

// Guards against queries that wait behind a standing queue and are answered
// late.
Test(overload, a_query_that_would_be_late_behind_a_standing_queue_is_refused) {
  DispatchFixture fixture;
  fixture.objective = milliseconds(300);
  fixture.configure(2);
  slow_down(fixture, milliseconds(60));
  begin_burst(fixture);
  const TimePoint later = Clock::now() + milliseconds(1300);
  fixture.run_until([&] { return Clock::now() >= later; });
  const Outcome& late = fixture.run("late", "/query/1");
  cr_assert(!late);
  cr_assert(late.error().kind == ErrorKind::kOverloaded);
  cr_assert(late.error().execution == Execution::kNotRun);
  cr_assert(late.error().retry_after >= milliseconds(100));
  cr_assert(fixture.leafs.times_run("late") == 0);
  // Accepted queries are answered, and so are queries that come after the queue
  // has drained.
  fixture.run_until([&] { return has_ended(fixture, kBurstSize + 1); });
  cr_assert(answered(fixture, 0));
  cr_assert(answered(fixture, kBurstSize - 1));
  cr_assert(fixture.run("after", "/query/1").has_value());
}

// Guards against refusals because of a queue that is draining.
Test(overload, a_burst_is_served_late_rather_than_refused) {
  DispatchFixture fixture;
  fixture.objective = milliseconds(300);
  fixture.configure(2);
  slow_down(fixture, milliseconds(30));
  cr_assert(fixture.run("first", "/query/1").has_value());
  begin_burst(fixture);
  fixture.run_until([&] { return has_ended(fixture, kBurstSize + 1); });
  for (int i = 0; i < kBurstSize; ++i) {
    cr_assert(answered(fixture, i), "%s", name(i).c_str());
  }
}

// Guards against a part that fails because all other leafs are full for a
// moment.
Test(overload, a_part_refused_by_a_leaf_waits_for_another_one) {
  DispatchFixture fixture;
  slow_down(fixture, milliseconds(30));
  fixture.leafs.behaviour["s1-0"] = Behaviour{.sheds = true};
  constexpr int kQueries = 9;
  for (int i = 0; i < kQueries; ++i) {
    fixture.begin(name(i), "/query/1");
  }
  fixture.run_until([&] { return has_ended(fixture, kQueries); });
  for (int i = 0; i < kQueries; ++i) {
    cr_assert(fixture.merged(name(i)).missing_shards == 0, "%s",
              name(i).c_str());
  }
}

// Guards against parts that stay queued after their query has ended.
Test(overload, a_cancelled_query_is_removed_from_the_queue) {
  DispatchFixture fixture;
  slow_down(fixture, milliseconds(60));
  begin_burst(fixture);
  const auto token = fixture.begin("gone", "/query/1");
  token->cancel();
  fixture.run_until([&] { return fixture.outcomes.contains("gone"); });
  cr_assert(!fixture.outcomes.at("gone"));
  fixture.run_until([&] { return has_ended(fixture, kBurstSize + 1); });
  cr_assert(fixture.leafs.times_run("gone") == 0);
}

}  // namespace
}  // namespace ibismux::dispatch
