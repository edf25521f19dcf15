#include "ibismux/feed/store_availability.h"

#include <criterion/criterion.h>

namespace ibismux::feed {
namespace {

using std::chrono::milliseconds;

/// A daemon that has had an answer of the store each second for ten seconds.
struct Fixture {
  TimePoint began = Clock::now();
  TimePoint now = this->began;
  StoreAvailability availability{this->now};

  Fixture() {
    this->availability.on_answer(this->now);
    this->answers(10);
  }

  void answers(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      this->now += milliseconds(1000);
      this->availability.on_answer(this->now);
    }
  }

  [[nodiscard]] Duration available_for() const {
    return this->now - this->availability.available_since();
  }
};

Test(store_availability, answers_each_second_are_unbroken) {
  const Fixture fixture;
  cr_assert(fixture.availability.available_since() == fixture.began);
}

Test(store_availability, an_outage_starts_a_new_period) {
  Fixture fixture;
  fixture.now += milliseconds(4000);
  fixture.availability.on_answer(fixture.now);
  cr_assert(fixture.available_for() == Duration::zero());
}

Test(store_availability, a_failed_call_is_an_interruption_of_any_length) {
  Fixture fixture;
  fixture.availability.on_interruption(fixture.now);
  fixture.now += milliseconds(200);
  fixture.availability.on_answer(fixture.now);
  cr_assert(fixture.available_for() == Duration::zero());
}

// Guards against treating removed entries as expired when only one host had
// lost the store.
Test(store_availability,
     a_peer_with_continuous_answers_knows_the_store_was_up) {
  Fixture fixture;
  fixture.availability.on_interruption(fixture.now);
  fixture.now += milliseconds(5000);
  fixture.availability.on_peer(milliseconds(400), milliseconds(60'000),
                               fixture.now);
  cr_assert(fixture.available_for() == milliseconds(60'000));
  // The same if the store answers this daemon before the peer's report arrives.
  Fixture other;
  other.availability.on_interruption(other.now);
  other.now += milliseconds(5000);
  other.availability.on_answer(other.now);
  cr_assert(other.available_for() == Duration::zero());
  other.availability.on_peer(milliseconds(400), milliseconds(60'000),
                             other.now);
  cr_assert(other.available_for() == milliseconds(60'000));
}

// Guards against relying on contacts that a peer had before an outage and
// reports before it notices the outage.
Test(store_availability, contacts_from_before_the_interruption_do_not_count) {
  Fixture fixture;
  fixture.now += milliseconds(300);
  fixture.availability.on_interruption(fixture.now);
  fixture.availability.on_peer(milliseconds(500), milliseconds(60'000),
                               fixture.now);
  fixture.now += milliseconds(1000);
  fixture.availability.on_answer(fixture.now);
  cr_assert(fixture.available_for() == Duration::zero());
}

// Guards against missing an outage that only the zone's watcher has noticed.
Test(store_availability, the_watcher_of_a_zone_reports_an_outage) {
  Fixture fixture;
  fixture.now += StoreAvailability::kLongestPause + milliseconds(1);
  fixture.availability.on_peer(milliseconds(0), milliseconds(0), fixture.now);
  cr_assert(fixture.available_for() == Duration::zero());
}

// Guards against treating the end of a watcher's own connection loss as the end
// of an outage of the store.
Test(store_availability,
     a_peer_that_lost_its_own_connection_reports_no_outage) {
  Fixture fixture;
  fixture.now += milliseconds(600);
  fixture.availability.on_peer(milliseconds(0), milliseconds(0), fixture.now);
  cr_assert(fixture.availability.available_since() == fixture.began);
}

Test(store_availability, a_peer_that_has_just_started_changes_nothing) {
  Fixture fixture;
  fixture.now += milliseconds(200);
  fixture.availability.on_peer(milliseconds(100), milliseconds(400),
                               fixture.now);
  cr_assert(fixture.availability.available_since() == fixture.began);
}

Test(store_availability, answers_to_a_peer_before_the_outage_are_ignored) {
  Fixture fixture;
  fixture.now += milliseconds(4000);
  fixture.availability.on_answer(fixture.now);
  fixture.availability.on_peer(milliseconds(4100), milliseconds(60'000),
                               fixture.now);
  cr_assert(fixture.available_for() == Duration::zero());
}

}  // namespace
}  // namespace ibismux::feed
