#include "ibismux/dispatch/leaf_estimate.h"

#include <criterion/criterion.h>

#include "ibismux/dispatch/leaf_load.h"

namespace ibismux::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTypical{10};

struct Fixture {
  LeafEstimate estimate;
  TimePoint now = Clock::now();

  /// Makes a call that is answered after `took`.
  void call(milliseconds took) {
    const auto ticket = this->estimate.sent(this->now);
    this->now += took;
    this->estimate.answered(ticket, kTypical, this->now);
  }
};

Test(leaf_estimate, a_leaf_without_calls_has_the_typical_latency) {
  const Fixture fixture;
  cr_assert(fixture.estimate.ratio(fixture.now) == 1);
  cr_assert(fixture.estimate.failure_share(fixture.now) == 0);
  cr_assert(!fixture.estimate.is_unresponsive(milliseconds(0), fixture.now));
}

Test(leaf_estimate, a_slow_leaf_is_detected_after_a_few_calls) {
  Fixture fixture;
  for (int i = 0; i < 5; ++i) {
    fixture.call(milliseconds(80));
  }
  cr_assert(fixture.estimate.ratio(fixture.now) > 3);
}

// Load pattern: machines of leafs are four times slower for half a second.
Test(leaf_estimate, one_answer_reveals_a_slow_machine) {
  Fixture fixture;
  fixture.estimate.note_load({1, 0, 4, 4.0}, fixture.now);
  cr_assert(fixture.estimate.ratio(fixture.now) == 4);
  fixture.estimate.note_load({1, 4, 4, 1.0}, fixture.now);
  cr_assert(fixture.estimate.ratio(fixture.now) == 2);
  fixture.estimate.note_load({1, 0, 4, std::nullopt}, fixture.now);
  cr_assert(fixture.estimate.ratio(fixture.now) == 1);
}

// Guards against using a load report after the load has changed.
Test(leaf_estimate, a_load_report_decays_quickly) {
  Fixture fixture;
  fixture.estimate.note_load({1, 0, 4, 4.0}, fixture.now);
  cr_assert(fixture.estimate.ratio(fixture.now + milliseconds(300)) < 1.5);
  cr_assert(fixture.estimate.ratio(fixture.now + milliseconds(1000)) < 1.01);
}

// Guards against preferring a leaf that reports no load but answers slowly.
Test(leaf_estimate, a_low_reported_load_does_not_hide_slow_calls) {
  Fixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.call(milliseconds(40));
    fixture.estimate.note_load({0, 0, 4, 0.5}, fixture.now);
  }
  cr_assert(fixture.estimate.ratio(fixture.now) > 2);
}

// Load pattern: leafs pause for 100 ms every 2.4 s.
Test(leaf_estimate, one_pause_hardly_changes_the_estimate) {
  Fixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.call(kTypical);
  }
  fixture.call(milliseconds(100));
  cr_assert(fixture.estimate.ratio(fixture.now) < 1.7);
}

Test(leaf_estimate, the_estimate_decays_without_calls) {
  Fixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.call(milliseconds(80));
  }
  const double before = fixture.estimate.ratio(fixture.now);
  const double after =
      fixture.estimate.ratio(fixture.now + std::chrono::seconds(10));
  cr_assert(before > 3.5 && after < 1.3);
}

Test(leaf_estimate, a_call_without_an_answer_makes_the_leaf_unresponsive) {
  Fixture fixture;
  const auto ticket = fixture.estimate.sent(fixture.now);
  cr_assert(!fixture.estimate.is_unresponsive(milliseconds(25),
                                              fixture.now + milliseconds(25)));
  cr_assert(fixture.estimate.is_unresponsive(milliseconds(25),
                                             fixture.now + milliseconds(26)));
  fixture.estimate.answered(ticket, kTypical, fixture.now + milliseconds(27));
  cr_assert(!fixture.estimate.is_unresponsive(milliseconds(25),
                                              fixture.now + milliseconds(90)));
}

Test(leaf_estimate, a_leaf_that_answers_other_calls_is_not_unresponsive) {
  Fixture fixture;
  const auto slow = fixture.estimate.sent(fixture.now);
  fixture.now += milliseconds(20);
  fixture.call(kTypical);
  cr_assert(!fixture.estimate.is_unresponsive(milliseconds(25), fixture.now));
  fixture.estimate.lost(slow, fixture.now);
}

Test(leaf_estimate, failures_raise_the_failure_share) {
  Fixture fixture;
  for (int i = 0; i < 10; ++i) {
    const auto ticket = fixture.estimate.sent(fixture.now);
    fixture.estimate.failed(ticket, fixture.now);
  }
  cr_assert(fixture.estimate.failure_share(fixture.now) > 0.8);
}

Test(leaf_estimate, peer_reports_are_weighted_with_own_calls) {
  Fixture fixture;
  fixture.estimate.merge_report(
      {.excess = 4, .samples = 12, .half_life = kTypical}, fixture.now);
  cr_assert(fixture.estimate.ratio(fixture.now) == 5);
  for (int i = 0; i < 12; ++i) {
    fixture.call(milliseconds(1));
  }
  const double blended = fixture.estimate.ratio(fixture.now);
  cr_assert(blended > 2 && blended < 4.5);
  cr_assert(fixture.estimate.ratio(fixture.now + milliseconds(1600)) < 1.1);
}

Test(leaf_estimate, peer_reports_decay_with_their_half_life) {
  Fixture fixture;
  fixture.estimate.merge_report(
      {.excess = 4, .samples = 1, .half_life = std::chrono::seconds(10)},
      fixture.now);
  const TimePoint later = fixture.now + milliseconds(11500);
  cr_assert(fixture.estimate.ratio(later) > 2.9);
  cr_assert(fixture.estimate.ratio(later) < 3.1);
  cr_assert(fixture.estimate.has_peer_report(later));
  fixture.estimate.merge_report({.samples = 1}, later);
  cr_assert(fixture.estimate.ratio(later) == 1);
  cr_assert(!fixture.estimate.has_peer_report(later));
}

Test(leaf_estimate, observations_are_returned_once) {
  Fixture fixture;
  fixture.call(milliseconds(30));
  const auto seen = fixture.estimate.take_observations();
  cr_assert(seen.samples == 1 && seen.excess > 1.9 && seen.failures == 0);
  cr_assert(fixture.estimate.take_observations().samples == 0);
}

}  // namespace
}  // namespace ibismux::dispatch
