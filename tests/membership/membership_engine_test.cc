#include "ibismux/membership/membership_engine.h"

#include "tests/membership/engine_fleet.h"

// Criterion's macros come after Boost's headers.
#include <criterion/criterion.h>

namespace ibismux::membership {
namespace {

using namespace std::chrono_literals;
using State = Member::State;

Test(membership_engine, daemons_that_know_one_find_all) {
  for (const std::size_t count : {2U, 3U, 7U, 60U}) {
    EngineFleet fleet(count);
    fleet.run(10s);
    cr_assert(fleet.agreed());
  }
}

/// Starts `count` daemons within 0.3 s, those that the host list names last.
void start_all(EngineFleet& fleet, std::size_t count) {
  constexpr std::size_t kContacts = 5;
  std::vector<Contact> contacts;
  for (std::size_t i = 0; i < kContacts; ++i) {
    contacts.push_back({EngineFleet::name(i), "127.0.0.1",
                        static_cast<std::uint16_t>(60'000 + i)});
  }
  for (std::size_t batch = 4; batch-- > 0;) {
    for (std::size_t i = 0; i < count; ++i) {
      if (i < kContacts ? batch == 0 : i % 4 == batch) {
        const std::string name = EngineFleet::name(i);
        fleet.start(name);
        fleet.engine(name).on_contacts(contacts);
      }
    }
    fleet.run(100ms);
  }
}

// Failure: after a loss of all hosts, daemons try their contacts before these
// listen, and for seconds know different members. Callers that were refused
// come back within 0.4 s.
Test(membership_engine, daemons_that_all_start_at_once_soon_know_a_majority) {
  for (const std::size_t count : {7U, 74U}) {
    EngineFleet fleet(0);
    start_all(fleet, count);
    fleet.run(300ms);
    std::size_t informed = 0;
    for (const std::string& name : fleet.names()) {
      const auto& rows = fleet.engine(name).members().rows();
      informed += rows.size() * 2 > count ? 1 : 0;
    }
    cr_assert(informed * 10 >= count * 9, "%zu of %zu", informed, count);
    fleet.run(1500ms);
    cr_assert(fleet.agreed());
  }
}

Test(membership_engine, a_killed_daemon_is_suspected_at_once_then_failed) {
  EngineFleet fleet(7);
  fleet.run(10s);
  const std::string victim = EngineFleet::name(3);
  fleet.kill(victim);
  cr_assert(fleet.seen(victim, State::kSuspect) == 6);
  fleet.run(4s);
  cr_assert(fleet.seen(victim, State::kFailed) == 6);
}

// Failure: a host that lost power keeps its leafs.
Test(membership_engine, a_silent_daemon_fails_by_probes) {
  EngineFleet fleet(30);
  fleet.run(15s);
  const std::string victim = EngineFleet::name(7);
  fleet.freeze(victim);
  fleet.run(6s);
  cr_assert(fleet.seen(victim, State::kFailed) == 29);
}

// Failure: after a pause of one process, the fleet loses healthy members.
Test(membership_engine, a_daemon_that_wakes_harms_nobody_and_returns) {
  EngineFleet fleet(7);
  fleet.run(10s);
  const std::string sleeper = EngineFleet::name(2);
  const std::uint64_t epoch = fleet.engine(sleeper).members().self().epoch;
  fleet.freeze(sleeper);
  fleet.run(20s);
  cr_assert(fleet.seen(sleeper, State::kFailed) == 6);
  fleet.thaw(sleeper);
  for (int i = 0; i < 50; ++i) {
    fleet.run(100ms);
    for (const std::string& other : fleet.names()) {
      cr_assert(fleet.seen(other, State::kFailed) == 0 || other == sleeper);
    }
  }
  cr_assert(fleet.agreed());
  cr_assert(fleet.engine(sleeper).members().self().epoch > epoch);
}

// Failure: after a partition the two halves never meet again, or members flap.
Test(membership_engine, halves_that_were_cut_off_meet_again) {
  for (const std::size_t count : {6U, 40U}) {
    EngineFleet fleet(count);
    fleet.run(20s);
    std::set<std::string> half;
    for (std::size_t i = 0; i < count / 2; ++i) {
      half.insert(EngineFleet::name(i));
    }
    fleet.split(half);
    fleet.run(60s);
    const std::string last = EngineFleet::name(count - 1);
    cr_assert(fleet.seen(last, State::kFailed) == count / 2);
    cr_assert(fleet.seen(last, State::kAlive) == count - count / 2);
    fleet.split({});
    fleet.run(15s);
    cr_assert(fleet.agreed());
  }
}

Test(membership_engine, leaving_and_failed_are_told_apart) {
  EngineFleet fleet(7);
  fleet.run(10s);
  const std::string leaver = EngineFleet::name(4);
  fleet.engine(leaver).announce_leaving(fleet.now);
  fleet.run(300ms);
  cr_assert(fleet.seen(leaver, State::kLeaving) == 7);
  fleet.run(30s);
  cr_assert(fleet.seen(leaver, State::kLeaving) == 7);
  fleet.kill(leaver);
  fleet.run(3s);
  cr_assert(fleet.seen(leaver, State::kFailed) == 6);
}

// Failure: statements about a dead run hit the new run of the same member.
Test(membership_engine, an_old_run_does_not_touch_the_new_one) {
  EngineFleet fleet(7);
  fleet.run(10s);
  const std::string member = EngineFleet::name(5);
  const Incarnation old_run = fleet.incarnation(member);
  MemberRecord old_record = fleet.engine(member).members().self();
  fleet.kill(member);
  fleet.start(member);
  fleet.engine(member).on_contacts({{EngineFleet::name(0), "127.0.0.1", 1}});
  fleet.run(5s);
  cr_assert(fleet.agreed());
  old_record.member.state = State::kFailed;
  const std::string hearer = EngineFleet::name(1);
  fleet.engine(hearer).on_gossip(EngineFleet::name(2), {old_record}, fleet.now);
  fleet.engine(hearer).on_lost(old_run, fleet.now);
  cr_assert(fleet.agreed());
}

// Failure: each daemon of a starting fleet takes all leafs for its own.
Test(membership_engine, a_daemon_has_joined_when_it_met_one_of_those_listed) {
  EngineFleet fleet(3);
  fleet.run(5s);
  fleet.start(EngineFleet::name(3));
  MembershipEngine& fresh = fleet.engine(EngineFleet::name(3));
  fleet.run(500ms);
  cr_assert(!fresh.view().joined);
  const std::uint64_t before = fresh.revision();
  fresh.on_contacts({{EngineFleet::name(0), "127.0.0.1", 1}});
  fleet.run(500ms);
  cr_assert(fresh.view().joined);
  cr_assert(fresh.revision() > before);
}

Test(membership_engine, a_daemon_goes_on_alone_where_nobody_is) {
  EngineFleet fleet(0);
  const std::string only = EngineFleet::name(0);
  fleet.start(only);
  fleet.run(200ms);
  cr_assert(!fleet.engine(only).view().joined);
  fleet.engine(only).on_contacts({{only, "127.0.0.1", 1}});
  fleet.run(200ms);
  cr_assert(fleet.engine(only).view().joined);
}

Test(membership_engine, a_daemon_goes_on_alone_where_nobody_answers) {
  EngineFleet fleet(0);
  const std::string only = EngineFleet::name(0);
  fleet.start(only);
  fleet.engine(only).on_contacts({{EngineFleet::name(1), "127.0.0.1", 9}});
  fleet.run(2s);
  cr_assert(!fleet.engine(only).view().joined);
  fleet.run(2s);
  cr_assert(fleet.engine(only).view().joined);
}

// Failure: a restarted daemon whose clock went back stays failed.
Test(membership_engine, a_clock_that_went_back_does_not_keep_a_member_out) {
  EngineFleet fleet(7);
  fleet.run(10s);
  const std::string member = EngineFleet::name(6);
  MemberRecord claim = fleet.engine(member).members().self();
  claim.epoch += 1'000'000;
  claim.member.incarnation = 77;
  for (const std::string& other : fleet.names()) {
    if (other != member) {
      fleet.engine(other).on_gossip("x", {claim}, fleet.now);
    }
  }
  fleet.run(5s);
  cr_assert(fleet.agreed());
}

// Failure: one lost gossip message leaves a daemon wrong for ever.
Test(membership_engine, a_lost_change_is_repaired) {
  EngineFleet fleet(30);
  fleet.run(15s);
  const std::string loser = EngineFleet::name(11);
  fleet.split({loser});
  MemberRecord record;
  record.member.name = "new";
  record.member.address = "127.0.0.1";
  record.member.port = 999;
  record.member.state = State::kLeaving;
  record.epoch = 9000;
  fleet.engine(EngineFleet::name(1)).on_gossip("x", {record}, fleet.now);
  fleet.run(300ms);
  cr_assert(fleet.engine(loser).members().find("new") == nullptr);
  fleet.split({});
  fleet.run(20s);
  cr_assert(fleet.seen("new", State::kLeaving) +
                fleet.seen("new", State::kFailed) ==
            30);
}

}  // namespace
}  // namespace ibismux::membership
