#include "ibismux/edge/store_check.h"

#include <criterion/criterion.h>

namespace ibismux::edge::testing {
namespace {

using std::chrono::milliseconds;
using Answer = StoreCheck::Answer;

constexpr milliseconds kUsual{1000};
constexpr Answer kCurrent{.all_current = true};

Test(store_check, an_answer_is_a_contact_if_all_is_current) {
  StoreCheck check;
  const TimePoint now = Clock::now();
  cr_assert(check.on_answer(kCurrent, now) == CheckAction::kContact);
  cr_assert(check.on_answer({}, now) == CheckAction::kNone);
  cr_assert(check.interval(kUsual) == kUsual);
}

Test(store_check, a_lost_store_is_read_more_often_until_it_recovers) {
  StoreCheck check;
  check.on_failure();
  cr_assert(check.interval(kUsual) < kUsual);
  cr_assert(check.interval(milliseconds(100)) == milliseconds(100));
  cr_assert(check.on_answer(kCurrent, Clock::now()) == CheckAction::kReadAgain);
  cr_assert(check.interval(kUsual) == kUsual);
  cr_assert(check.on_answer(kCurrent, Clock::now()) == CheckAction::kContact);
}

// Guards against an answer for one collection that is taken as an answer for
// all.
Test(store_check, a_lost_collection_is_read_again_before_any_contact) {
  StoreCheck check;
  const Answer lost{.any_lost = true, .all_current = true};
  cr_assert(check.on_answer(lost, Clock::now()) == CheckAction::kReadAgain);
}

// Guards against a load spike: without the wait, hundreds of daemons would all
// read a store that has just recovered.
Test(store_check, a_follower_waits_for_its_watcher_for_a_limited_time) {
  StoreCheck check;
  const Answer followed{.all_current = true, .has_watcher = true};
  TimePoint now = Clock::now();
  check.on_failure();
  const TimePoint back = now;
  CheckAction action = CheckAction::kNone;
  while (action == CheckAction::kNone && now < back + std::chrono::hours(1)) {
    now += milliseconds(300);
    action = check.on_answer(followed, now);
    cr_assert(action != CheckAction::kContact);
  }
  cr_assert(action == CheckAction::kReadAgain);
  cr_assert(now > back + milliseconds(2000));
  cr_assert(now < back + milliseconds(3000));
}

Test(store_check, a_follower_whose_peers_bring_updates_reads_nothing) {
  StoreCheck check;
  const Answer followed{.all_current = true, .has_watcher = true};
  check.on_failure();
  cr_assert(check.on_answer(followed, Clock::now()) == CheckAction::kNone);
  check.on_peer_updates();
  cr_assert(check.interval(kUsual) == kUsual);
  cr_assert(check.on_answer(followed, Clock::now()) == CheckAction::kContact);
}

Test(store_check, another_outage_restarts_the_wait) {
  StoreCheck check;
  const Answer followed{.all_current = true, .has_watcher = true};
  const TimePoint now = Clock::now();
  check.on_failure();
  cr_assert(check.on_answer(followed, now) == CheckAction::kNone);
  check.on_failure();
  cr_assert(check.on_answer(followed, now + milliseconds(2500)) ==
            CheckAction::kNone);
}

// Guards against a daemon that waits for a watcher which the store turns away.
Test(store_check, a_store_that_answers_the_first_question_is_read_at_once) {
  StoreCheck check;
  const Answer probing{
      .any_lost = true, .has_watcher = true, .is_probing = true};
  cr_assert(check.on_answer(probing, Clock::now()) == CheckAction::kReadAgain);
}

// Guards against data that grows older than three seconds because one answer
// was lost.
Test(store_check, a_single_lost_answer_causes_no_wait_for_the_watcher) {
  StoreCheck check(feed::OutageProbes(1));
  check.on_failure(false);
  cr_assert(check.on_answer(
                {.any_lost = true, .has_watcher = true, .is_probing = true},
                Clock::now()) == CheckAction::kReadAgain);
}

Test(store_check, after_failures_a_daemon_that_probes_waits_for_its_watcher) {
  StoreCheck check(feed::OutageProbes(1));
  const Answer probing{
      .any_lost = true, .has_watcher = true, .is_probing = true};
  check.on_failure(false);
  check.on_failure(false);
  const TimePoint now = Clock::now();
  cr_assert(check.on_answer(probing, now) == CheckAction::kNone);
  cr_assert(check.on_answer(probing, now + milliseconds(900)) ==
            CheckAction::kReadAgain);
}

Test(store_check, a_daemon_that_asks_seldom_waits_longer_than_usual) {
  StoreCheck check(feed::OutageProbes(1));
  for (int i = 0; i < 10; ++i) {
    check.on_failure(false);
  }
  cr_assert(check.interval(kUsual) > kUsual);
  check.on_failure(true);
  cr_assert(check.interval(kUsual) < kUsual);
  check.on_peer_updates();
  cr_assert(check.interval(kUsual) == kUsual);
}

// Guards against a wait for the watcher that ends with the longest pause.
Test(store_check, a_daemon_that_asks_seldom_ends_its_wait_in_time) {
  StoreCheck check(feed::OutageProbes(1));
  for (int i = 0; i < 10; ++i) {
    check.on_failure(false);
  }
  static_cast<void>(
      check.on_answer({.any_lost = true, .has_watcher = true}, Clock::now()));
  cr_assert(check.interval(kUsual) <= milliseconds(2200));
}

Test(store_check, a_watch_that_stays_behind_is_replaced) {
  StoreCheck check;
  const Answer behind{.all_current = true, .is_behind = true};
  const TimePoint now = Clock::now();
  cr_assert(check.on_answer(behind, now) == CheckAction::kNone);
  cr_assert(check.on_answer(behind, now) == CheckAction::kReplaceWatch);
  cr_assert(check.on_answer(behind, now) == CheckAction::kNone);
  cr_assert(check.on_answer(kCurrent, now) == CheckAction::kContact);
  cr_assert(check.on_answer(behind, now) == CheckAction::kNone);
}

// Guards against a watch that never gets an answer from a restored store.
Test(store_check, a_store_that_was_restored_is_read_again_at_once) {
  StoreCheck check;
  const Answer restored{.all_current = true, .is_restored = true};
  cr_assert(check.on_answer(restored, Clock::now()) ==
            CheckAction::kReplaceWatch);
}

}  // namespace
}  // namespace ibismux::edge::testing
