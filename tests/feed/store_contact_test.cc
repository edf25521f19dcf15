#include "ibismux/feed/store_contact.h"

#include <criterion/criterion.h>

namespace ibismux::feed {
namespace {

using std::chrono::milliseconds;

/// A daemon that has heard from the store each second for ten seconds.
struct Fixture {
  TimePoint began = Clock::now();
  TimePoint now = this->began;
  StoreContact contact{this->now};

  Fixture() {
    this->contact.on_answer(this->now);
    this->answers(10);
  }

  void answers(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      this->now += milliseconds(1000);
      this->contact.on_answer(this->now);
    }
  }

  [[nodiscard]] Duration unbroken() const {
    return this->now - this->contact.unbroken_since();
  }
};

Test(store_contact, answers_each_second_are_unbroken) {
  const Fixture fixture;
  cr_assert(fixture.contact.unbroken_since() == fixture.began);
}

Test(store_contact, after_an_outage_it_begins_anew) {
  Fixture fixture;
  fixture.now += milliseconds(4000);
  fixture.contact.on_answer(fixture.now);
  cr_assert(fixture.unbroken() == Duration::zero());
}

Test(store_contact, a_failed_call_is_a_break_however_short) {
  Fixture fixture;
  fixture.contact.on_break(fixture.now);
  fixture.now += milliseconds(200);
  fixture.contact.on_answer(fixture.now);
  cr_assert(fixture.unbroken() == Duration::zero());
}

// Guards against removals that pass for lapsed entries after a gap of one host.
Test(store_contact, a_peer_that_heard_all_the_while_knows_that_it_was_up) {
  Fixture fixture;
  fixture.contact.on_break(fixture.now);
  fixture.now += milliseconds(5000);
  fixture.contact.on_peer(milliseconds(400), milliseconds(60'000), fixture.now);
  cr_assert(fixture.unbroken() == milliseconds(60'000));
  // Also where its own way is back before it hears from the peer.
  Fixture other;
  other.contact.on_break(other.now);
  other.now += milliseconds(5000);
  other.contact.on_answer(other.now);
  cr_assert(other.unbroken() == Duration::zero());
  other.contact.on_peer(milliseconds(400), milliseconds(60'000), other.now);
  cr_assert(other.unbroken() == milliseconds(60'000));
}

// Guards against a peer's contacts from before it has noticed an outage.
Test(store_contact, a_peer_that_has_not_noticed_yet_knows_nothing) {
  Fixture fixture;
  fixture.now += milliseconds(300);
  fixture.contact.on_break(fixture.now);
  fixture.contact.on_peer(milliseconds(500), milliseconds(60'000), fixture.now);
  fixture.now += milliseconds(1000);
  fixture.contact.on_answer(fixture.now);
  cr_assert(fixture.unbroken() == Duration::zero());
}

// A follower takes over an outage that its watcher alone has noticed.
Test(store_contact, the_watcher_of_a_zone_tells_of_an_outage) {
  Fixture fixture;
  fixture.now += StoreContact::kLongestPause + milliseconds(1);
  fixture.contact.on_peer(milliseconds(0), milliseconds(0), fixture.now);
  cr_assert(fixture.unbroken() == Duration::zero());
}

// Guards against the end of a watcher's cut that passes for an outage's end.
Test(store_contact, a_peer_that_was_cut_off_itself_tells_of_no_outage) {
  Fixture fixture;
  fixture.now += milliseconds(600);
  fixture.contact.on_peer(milliseconds(0), milliseconds(0), fixture.now);
  cr_assert(fixture.contact.unbroken_since() == fixture.began);
}

Test(store_contact, a_peer_that_has_just_started_changes_nothing) {
  Fixture fixture;
  fixture.now += milliseconds(200);
  fixture.contact.on_peer(milliseconds(100), milliseconds(400), fixture.now);
  cr_assert(fixture.contact.unbroken_since() == fixture.began);
}

Test(store_contact, what_a_peer_heard_before_the_outage_is_passed_over) {
  Fixture fixture;
  fixture.now += milliseconds(4000);
  fixture.contact.on_answer(fixture.now);
  fixture.contact.on_peer(milliseconds(4100), milliseconds(60'000),
                          fixture.now);
  cr_assert(fixture.unbroken() == Duration::zero());
}

}  // namespace
}  // namespace ibismux::feed
