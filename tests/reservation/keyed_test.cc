#include <algorithm>

#include "ibismux/reservation/key_hash.h"
#include "tests/reservation/fleet.h"

#include <criterion/criterion.h>

namespace ibismux::reservation {
namespace {

using Fate = testing::FakeLeafCaller::Fate;
using std::chrono::milliseconds;

testing::FakeLeafCaller::Plan always(Fate fate) {
  return [fate](const auto&, const auto&) { return fate; };
}

bool settled(Fleet& fleet, const std::string& key) {
  return fleet.wait([&fleet, &key] {
    auto answer = fleet.ask_now(0, key);
    return answer && answer->state != KeyState::kRunning;
  });
}

/// Who plays which part in a fleet of three.
struct Cast {
  explicit Cast(const Fleet& fleet)
      : owner(fleet.owner_of(this->key)),
        entry((this->owner + 1) % fleet.size()),
        other((this->owner + 2) % fleet.size()) {}

  std::string key = "order-1";
  std::size_t owner;  ///< Of the key's bucket.
  std::size_t entry;  ///< Takes the first attempt.
  std::size_t other;
};

bool calls_held(Fleet& fleet, std::size_t count) {
  return fleet.wait([&fleet, count] { return fleet.leafs.held() == count; });
}

bool frames_held(Fleet& fleet, std::size_t from, std::size_t to) {
  return fleet.wait([&fleet, from, to] {
    return fleet.peers.held(fleet.name(from), fleet.name(to)) > 0;
  });
}

bool everyone_has(const std::vector<Fleet::Outcome>& outcomes, Fleet& fleet) {
  return fleet.wait([&outcomes] {
    return std::ranges::all_of(
        outcomes, [](const auto& one) { return one->has_value(); });
  });
}

void steal_claim(Fleet& fleet, std::size_t thief, const std::string& key) {
  fleet.leafs.plan(nullptr);
  fleet.store.before_next_write([&fleet, thief, key] {
    const std::size_t victim = 1 - thief;
    fleet.freeze(victim);  // It is inside the very write.
    cr_assert(fleet.reserve_now(thief, key, "fuse").has_value());
    fleet.thaw(victim);
  });
}

Test(keyed, a_repeat_gets_the_recorded_outcome_through_any_daemon) {
  Fleet fleet(3);
  auto first = fleet.reserve_now(0, "order-1", "fuse");
  cr_assert(first.has_value() && !first->repeat);
  cr_assert(first->leaf_wait.stretch().has_value());
  for (std::size_t daemon = 0; daemon < 3; ++daemon) {
    auto again = fleet.reserve_now(daemon, "order-1", "fuse");
    cr_assert(again.has_value());
    cr_assert(again->repeat);
    cr_assert(!again->leaf_wait.stretch().has_value());
    cr_assert(again->body == first->body);
    cr_assert(again->shard == first->shard);
  }
  cr_assert(fleet.leafs.runs_of("order-1") == 1);
}

Test(keyed, the_same_key_with_another_body_is_refused) {
  Fleet fleet(2);
  cr_assert(fleet.reserve_now(0, "order-1", "fuse").has_value());
  auto other = fleet.reserve_now(1, "order-1", "relay");
  cr_assert(other.error().kind == ErrorKind::kKeyReused);
  cr_assert(other.error().execution == Execution::kNotRun);
  cr_assert(fleet.leafs.calls() == 1);
}

Test(keyed, keys_of_two_services_are_two_keys) {
  cr_assert(!(hash_key("a", "bc") == hash_key("ab", "c")));
}

Test(keyed, a_key_that_was_not_run_may_be_tried_again) {
  Fleet fleet(2);
  fleet.leafs.plan(always(Fate::kRefuses));
  auto refused = fleet.reserve(0, "order-1", "fuse", milliseconds(50));
  cr_assert(fleet.get(refused).error().execution == Execution::kNotRun);
  fleet.leafs.plan(nullptr);
  auto answer = fleet.reserve_now(1, "order-1", "fuse");
  cr_assert(answer.has_value() && !answer->repeat);
  cr_assert(fleet.leafs.runs_of("order-1") == 1);
}

// Failure: two daemons promise the same spare to two families.
Test(keyed, one_key_through_all_daemons_at_once_runs_once) {
  Fleet fleet(7);
  std::vector<Fleet::Outcome> outcomes;
  for (std::size_t daemon = 0; daemon < 7; ++daemon) {
    outcomes.push_back(fleet.reserve(daemon, "order-1", "fuse"));
  }
  cr_assert(everyone_has(outcomes, fleet));
  for (const auto& outcome : outcomes) {
    cr_assert((*outcome)->has_value());
    cr_assert((*outcome)->value().body == outcomes[0]->value()->body);
  }
  cr_assert(fleet.leafs.runs_of("order-1") == 1);
}

// Failure: a caller that retries after its time-out orders twice.
Test(keyed, a_retry_waits_for_the_attempt_that_is_running) {
  Fleet fleet(2);
  fleet.leafs.plan(always(Fate::kRunsWhenReleased));
  auto first = fleet.reserve(0, "order-1", "fuse");
  cr_assert(calls_held(fleet, 1));
  auto retry = fleet.reserve(1, "order-1", "fuse", milliseconds(20));
  auto late = fleet.get(retry);
  cr_assert(late.error().kind == ErrorKind::kOutcomeUnknown);
  cr_assert(fleet.ask_now(1, "order-1")->state == KeyState::kRunning);
  auto patient = fleet.reserve(1, "order-1", "fuse");
  fleet.leafs.release();
  cr_assert(fleet.get(first).has_value());
  cr_assert(fleet.get(patient)->repeat);
  cr_assert(fleet.leafs.calls() == 1);
}

Test(keyed, what_may_have_run_stays_unknown_for_every_daemon) {
  Fleet fleet(2);
  fleet.leafs.plan(always(Fate::kRunsAndAnswerLost));
  auto lost = fleet.reserve_now(0, "order-1", "fuse");
  cr_assert(lost.error().execution == Execution::kUnknown);
  fleet.leafs.plan(nullptr);
  auto repeat = fleet.reserve_now(1, "order-1", "fuse");
  cr_assert(repeat.error().kind == ErrorKind::kOutcomeUnknown);
  cr_assert(settled(fleet, "order-1"));
  cr_assert(fleet.ask_now(1, "order-1")->state == KeyState::kUnknown);
  cr_assert(fleet.leafs.calls() == 1);
}

Test(keyed, a_question_closes_a_key_that_was_never_used) {
  Fleet fleet(2);
  cr_assert(fleet.ask_now(0, "order-1")->state == KeyState::kNotRun);
  auto late = fleet.reserve_now(1, "order-1", "fuse");
  cr_assert(late.error().kind == ErrorKind::kKeyReused);
  cr_assert(late.error().execution == Execution::kNotRun);
  cr_assert(fleet.leafs.calls() == 0);
}

Test(keyed, a_question_gives_the_outcome) {
  Fleet fleet(2);
  auto first = fleet.reserve_now(0, "order-1", "fuse");
  auto known = fleet.ask_now(1, "order-1");
  cr_assert(known->state == KeyState::kRun);
  cr_assert(known->body == first->body);
}

// Failure: a caller hears "not run" of an order that a leaf executed.
Test(keyed, in_an_outage_a_key_is_refused_at_once_as_unknown) {
  Fleet fleet(2);
  cr_assert(fleet.reserve_now(0, "order-1", "fuse").has_value());
  cr_assert(fleet.reserve_now(1, "order-1", "fuse")->repeat);
  fleet.store.set_outage(true);
  Fleet cold(1);
  cold.store.set_outage(true);
  auto refused = cold.reserve_now(0, "order-1", "fuse");
  cr_assert(refused.error().kind == ErrorKind::kPlatformUnavailable);
  cr_assert(refused.error().execution == Execution::kUnknown);
  cr_assert(refused.error().retry_after.has_value());
  cr_assert(cold.leafs.calls() == 0);
  // What an owner remembers is still answered.
  cr_assert(fleet.reserve_now(1, "order-1", "fuse")->repeat);
}

Test(keyed, an_outcome_that_an_outage_held_up_is_recorded_afterwards) {
  Fleet fleet(2);
  fleet.leafs.plan(always(Fate::kRunsWhenReleased));
  auto first = fleet.reserve(0, "order-1", "fuse");
  cr_assert(calls_held(fleet, 1));
  fleet.store.set_outage(true);
  fleet.leafs.release();
  cr_assert(fleet.get(first).has_value());
  fleet.store.set_outage(false);
  auto repeat = fleet.reserve_now(1, "order-1", "fuse");
  cr_assert(repeat->repeat);
  cr_assert(repeat->body == first->value().value().body);
}

// Failure: a daemon doesn't recognise its own claim.
Test(keyed, a_lost_answer_is_settled_by_reading_back) {
  Fleet fleet(1);
  fleet.store.lose_answers(1);
  auto answer = fleet.reserve_now(0, "order-1", "fuse");
  cr_assert(answer.has_value());
  cr_assert(!answer->repeat);
  cr_assert(fleet.leafs.runs_of("order-1") == 1);
}

Test(keyed, a_lost_write_is_made_again) {
  Fleet fleet(1);
  fleet.store.lose_requests(1);
  cr_assert(fleet.reserve_now(0, "order-1", "fuse").has_value());
  cr_assert(fleet.leafs.runs_of("order-1") == 1);
}

// Failure: a key runs twice after a membership change.
Test(keyed, two_owners_at_once_grant_one_claim) {
  Fleet fleet(2);
  fleet.believe(0, 1, membership::Member::State::kFailed);
  fleet.believe(1, 0, membership::Member::State::kFailed);
  steal_claim(fleet, 1, "order-1");
  auto loser = fleet.reserve_now(0, "order-1", "fuse");
  cr_assert(!loser || loser->repeat);
  cr_assert(fleet.leafs.runs_of("order-1") == 1);
}

// Failure: an owner that wakes grants what its successor has granted.
Test(keyed, a_frozen_owner_that_wakes_up_grants_nothing_stale) {
  Fleet fleet(3);
  const Cast cast(fleet);
  cr_assert(fleet.reserve_now(cast.entry, "order-0", "fuse").has_value());
  fleet.freeze(cast.owner);
  cr_assert(fleet.reserve_now(cast.entry, cast.key, "fuse").has_value());
  fleet.thaw(cast.owner);
  for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
    cr_assert(fleet.reserve_now(daemon, cast.key, "fuse")->repeat);
  }
  cr_assert(fleet.leafs.runs_of(cast.key) == 1);
}

// Failure: a key that nobody runs looks "running" for good.
Test(keyed, a_claim_that_comes_late_is_released) {
  Fleet fleet(3);
  const Cast cast(fleet);
  const std::string from = fleet.name(cast.entry);
  const std::string to = fleet.name(cast.owner);
  fleet.peers.hold(from, to);
  fleet.store.set_outage(true);
  auto late = fleet.reserve(cast.entry, cast.key, "fuse", milliseconds(2000));
  cr_assert(frames_held(fleet, cast.entry, cast.owner));
  cr_assert(!fleet.get(late).has_value());
  fleet.store.set_outage(false);
  fleet.peers.deliver_held(from, to);
  cr_assert(fleet.wait([&fleet] { return fleet.store.writes() > 0; }));
  auto retry = fleet.reserve_now(cast.other, cast.key, "fuse");
  cr_assert(retry.has_value() && !retry->repeat);
  cr_assert(fleet.leafs.runs_of(cast.key) == 1);
}

// Failure: an order whose daemon died is run again by another one.
Test(keyed, a_claim_whose_executor_died_is_never_run_again) {
  for (const bool restarts : {false, true}) {
    Fleet fleet(3);
    const Cast cast(fleet);
    fleet.leafs.plan(always(Fate::kRunsWhenReleased));
    auto first = fleet.reserve(cast.entry, cast.key, "fuse");
    cr_assert(calls_held(fleet, 1));
    fleet.kill(cast.entry);
    if (restarts) {
      fleet.restart(cast.entry);
    }
    fleet.leafs.plan(nullptr);
    for (const std::size_t daemon : {cast.owner, cast.other}) {
      auto repeat = fleet.reserve_now(daemon, cast.key, "fuse");
      cr_assert(repeat.error().kind == ErrorKind::kOutcomeUnknown);
      cr_assert(fleet.ask_now(daemon, cast.key)->state == KeyState::kUnknown);
    }
    cr_assert(fleet.leafs.calls() == 1);
  }
}

// Failure: an order is executed again after its daemon was restarted.
Test(keyed, a_later_run_of_the_executor_can_not_release_its_claim) {
  Fleet fleet(3);
  const Cast cast(fleet);
  fleet.leafs.plan(always(Fate::kRunsWhenReleased));
  auto first = fleet.reserve(cast.entry, cast.key, "fuse");
  cr_assert(calls_held(fleet, 1));
  fleet.replace_unseen(cast.entry);
  fleet.leafs.plan(nullptr);
  auto repeat = fleet.reserve(cast.other, cast.key, "fuse", milliseconds(150));
  cr_assert(fleet.get(repeat).error().kind == ErrorKind::kOutcomeUnknown);
  cr_assert(fleet.leafs.calls() == 1);
}

Test(keyed, the_owners_death_loses_no_outcome) {
  Fleet fleet(3);
  const Cast cast(fleet);
  fleet.leafs.plan(always(Fate::kRunsWhenReleased));
  auto first = fleet.reserve(cast.entry, cast.key, "fuse");
  cr_assert(calls_held(fleet, 1));
  fleet.kill(cast.owner);
  fleet.leafs.release();
  cr_assert(fleet.get(first).has_value());
  cr_assert(fleet.reserve_now(cast.other, cast.key, "fuse")->repeat);
  cr_assert(fleet.leafs.calls() == 1);
}

// Failure: an order runs long after its caller was told that it is late.
Test(keyed, an_entry_frozen_after_its_claim_sends_nothing_late) {
  Fleet fleet(3);
  const Cast cast(fleet);
  const std::string from = fleet.name(cast.owner);
  const std::string to = fleet.name(cast.entry);
  fleet.peers.hold(from, to);
  auto first = fleet.reserve(cast.entry, cast.key, "fuse", milliseconds(100));
  cr_assert(frames_held(fleet, cast.owner, cast.entry));
  fleet.freeze(cast.entry);
  fleet.peers.deliver_held(from, to);
  const TimePoint past = Clock::now() + milliseconds(150);
  cr_assert(fleet.wait([past] { return Clock::now() > past; }));
  fleet.thaw(cast.entry);
  cr_assert(!fleet.get(first).has_value());
  cr_assert(fleet.leafs.calls() == 0);
  cr_assert(fleet.reserve_now(cast.other, cast.key, "fuse").has_value());
  cr_assert(fleet.leafs.runs_of(cast.key) == 1);
}

Test(keyed, peers_cut_from_the_owner_still_complete) {
  Fleet fleet(3);
  const Cast cast(fleet);
  fleet.peers.cut(fleet.name(cast.entry), fleet.name(cast.owner));
  cr_assert(fleet.reserve_now(cast.entry, cast.key, "fuse").has_value());
  cr_assert(fleet.reserve_now(cast.owner, cast.key, "fuse")->repeat);
  cr_assert(fleet.leafs.runs_of(cast.key) == 1);
}

}  // namespace
}  // namespace ibismux::reservation
