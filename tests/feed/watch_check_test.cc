#include "tests/feed/feed_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::feed {
namespace {

using namespace testing;

/// A feed whose watch is pending and will never be answered.
struct SilentWatch : Fixture {
  SilentWatch() {
    this->store.never_answers_watches = true;
    cr_assert(this->run_until([this] {
      return this->store.watches > 0 && this->feed->is_current();
    }));
  }

  /// Checks the watch, and waits for the store's answer.
  void check() {
    const int before = this->store.checks;
    this->feed->check_watch(TimePoint::max());
    cr_assert(this->run_until([&] { return this->store.checks > before; }));
  }
};

// Guards against changes that stay unknown because the answer to a watch was
// lost.
Test(watch_check, a_check_brings_the_changes_of_a_lost_answer) {
  SilentWatch fixture;
  fixture.put("main", "2");
  fixture.check();
  cr_assert(fixture.run_until(
      [&] { return fixture.observer.objects["main"] == "2"; }));
}

// Guards against a watch that is never answered and stays pending.
Test(watch_check, a_watch_that_misses_a_change_is_replaced) {
  SilentWatch fixture;
  fixture.put("main", "2");
  fixture.check();
  fixture.store.never_answers_watches = false;
  fixture.feed->check_watch(TimePoint::max());
  cr_assert(fixture.run_until([&] { return fixture.store.watches == 2; }));
  cr_assert(fixture.store.lists == 1);
  fixture.put("main", "3");
  cr_assert(fixture.run_until(
      [&] { return fixture.observer.objects["main"] == "3"; }));
}

Test(watch_check, a_watch_without_changes_is_kept) {
  SilentWatch fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.check();
  }
  cr_assert(fixture.store.watches == 1 && fixture.store.lists == 0);
  cr_assert(fixture.feed->is_current());
}

// Guards against reading a collection again that rarely changes: the store
// drops the history since its last change.
Test(watch_check, checks_ask_from_the_newest_version_they_have_seen) {
  SilentWatch fixture;
  const store::Version known = fixture.feed->mirror().version();
  fixture.put_elsewhere();
  fixture.check();
  fixture.check();
  cr_assert(fixture.store.checked_from > known);
  cr_assert(fixture.feed->mirror().version() == known);
  fixture.put("main", "2");
  fixture.check();
  cr_assert(fixture.run_until(
      [&] { return fixture.observer.objects["main"] == "2"; }));
}

// Guards against a state that counts as current although no call confirms it.
Test(watch_check, a_watch_whose_checks_fail_is_not_current) {
  SilentWatch fixture;
  fixture.store.fails_checks = true;
  fixture.check();
  cr_assert(fixture.feed->is_current());
  while (fixture.store.checks < 10) {
    fixture.check();
  }
  cr_assert(!fixture.feed->is_current());
  fixture.store.fails_checks = false;
  fixture.check();
  cr_assert(fixture.run_until([&] { return fixture.feed->is_current(); }));
}

// Guards against a load spike: a store that has recovered is read when the
// daemon says so, not by each feed for itself.
Test(watch_check, a_lost_collection_is_not_checked) {
  SilentWatch fixture;
  fixture.feed->report_lost("down");
  fixture.put("main", "2");
  for (int i = 0; i < 3; ++i) {
    fixture.feed->check_watch(TimePoint::max());
  }
  cr_assert(fixture.store.checks == 0 && fixture.store.lists == 0);
}

// Guards against a slow store that counts as silent: a check that is still to
// be answered hasn't failed, and more of them would only add to the store's
// load.
Test(watch_check, one_check_at_a_time_waits_for_its_answer) {
  SilentWatch fixture;
  fixture.store.hangs_checks = true;
  for (int i = 0; i < 10; ++i) {
    fixture.feed->check_watch(TimePoint::max());
    fixture.loop.poll();
  }
  cr_assert(fixture.store.checks == 1, "%d", fixture.store.checks);
  cr_assert(fixture.feed->is_current());
}

}  // namespace
}  // namespace ibismux::feed
