// Links that are opened before calls need them.
//
// Load pattern: a large fleet of slow hosts, queries over very many shards, and
// a query every few seconds at each daemon.

#include <boost/asio/io_context.hpp>

#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

#include "ibismux/dispatch/link_pool.h"
#include "ibismux/dispatch/reopen_pause.h"
#include "tests/support/run_task.h"

namespace ibismux::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::DispatchFixture;

/// A fully known fleet: this daemon and one daemon in each other zone.
LinkSharers small_fleet() {
  LinkSharers fleet;
  fleet.hosts = 3;
  fleet.hosts_by_zone = {{"z0", 1}, {"z1", 1}, {"z2", 1}};
  return fleet;
}

int dials(const DispatchFixture& fixture) {
  int sum = 0;
  for (const auto& [leaf, times] : fixture.leafs.dials) {
    sum += times;
  }
  return sum;
}

constexpr int kLeafs =
    15;  // In the fixture: five services with three leafs each.

bool open_all(DispatchFixture& fixture) {
  return fixture.run_until([&] { return dials(fixture) >= kLeafs; });
}

// Guards against a first query that has to dial a leaf of each shard.
Test(link_opening, the_first_query_uses_links_opened_ahead) {
  DispatchFixture fixture;
  fixture.dispatcher.set_fleet(small_fleet());
  cr_assert(open_all(fixture));
  fixture.run("r1", "/query/1");
  cr_assert(fixture.merged("r1").missing_shards == 0);
  cr_assert(dials(fixture) == kLeafs);
}

// Guards against all daemons of a large fleet opening links to every leaf.
Test(link_opening, nothing_is_opened_before_the_fleet_is_known) {
  DispatchFixture fixture;
  fixture.run("r1", "/query/1");
  cr_assert(dials(fixture) == static_cast<int>(DispatchFixture::kShards));
}

// Guards against a role change that doesn't update the links.
Test(link_opening, a_daemon_that_becomes_a_gatherer_opens_its_links) {
  DispatchFixture fixture;
  LinkSharers fleet;
  fleet.hosts = 300;
  fleet.rank = 299;
  fleet.hosts_by_zone = {{"z0", 100}, {"z1", 100}, {"z2", 100}};
  fleet.gatherers = 3;
  fixture.dispatcher.set_fleet(fleet);
  fixture.run("r1", "/query/1");
  cr_assert(dials(fixture) < kLeafs);
  fleet.gathers = true;
  fixture.dispatcher.set_fleet(fleet);
  cr_assert(open_all(fixture));
}

Test(link_opening, links_lost_by_a_reset_are_reopened) {
  DispatchFixture fixture;
  fixture.dispatcher.set_fleet(small_fleet());
  cr_assert(open_all(fixture));
  fixture.leafs.close_all();
  cr_assert(fixture.run_until([&] { return dials(fixture) >= 2 * kLeafs; }));
}

Test(link_opening, a_draining_leaf_gets_no_link) {
  DispatchFixture fixture;
  directory::LeafEntry leaving;
  leaving.run.id = "s1-0";
  leaving.service = "s1";
  leaving.zone = "z0";
  leaving.slots = 4;
  leaving.draining = true;
  fixture.dispatcher.on_leaf_updated(leaving);
  fixture.dispatcher.set_fleet(small_fleet());
  cr_assert(fixture.run_until([&] { return dials(fixture) >= kLeafs - 1; }));
  fixture.run("r1", "/query/1");
  cr_assert(fixture.leafs.dials["s1-0"] == 0);
}

Test(link_opening, an_unreachable_leaf_is_detected_before_any_call) {
  DispatchFixture fixture;
  fixture.leafs.behaviour["s1-0"] = {.refuses_dials = true};
  fixture.dispatcher.set_fleet(small_fleet());
  cr_assert(open_all(fixture));
  fixture.run("r1", "/query/1");
  cr_assert(fixture.merged("r1").missing_shards == 0);
  cr_assert(fixture.leafs.runs["s1-0"].empty());
}

Test(link_opening, can_be_disabled) {
  DispatchPolicy policy;
  policy.open_ahead = false;
  DispatchFixture fixture(policy);
  fixture.dispatcher.set_fleet(small_fleet());
  fixture.run("r1", "/query/1");
  cr_assert(dials(fixture) == static_cast<int>(DispatchFixture::kShards));
}

// Guards against constantly redialling a leaf that closes idle links.
Test(reopen_pause, doubles_without_calls_and_is_reset_by_a_call) {
  ReopenPause pause;
  TimePoint now{};
  cr_assert(pause.is_over(now));
  for (const seconds length : {seconds(1), seconds(2), seconds(4), seconds(8),
                               seconds(16), seconds(30), seconds(30)}) {
    pause.on_unused_end(now);
    cr_assert(!pause.is_over(now + length - milliseconds(1)));
    now += length;
    cr_assert(pause.is_over(now));
  }
  pause.on_unused_end(now);
  pause.on_use();
  cr_assert(pause.is_over(now));
}

directory::LeafEntry one_leaf() {
  directory::LeafEntry entry;
  entry.run.id = "s1-0";
  return entry;
}

Test(link_pool, only_a_pool_without_links_needs_one) {
  boost::asio::io_context loop;
  testing::FakeLeafs leafs;
  LinkPool pool(leafs, 1);
  const TimePoint now = Clock::now();
  cr_assert(!pool.needs_link(now));
  pool.grant({.max_links = 2, .keep = true, .open_ahead = true});
  cr_assert(pool.needs_link(now));
  auto dialled = ibismux::testing::run_task(
      loop, pool.dial(one_leaf(), now + DispatchFixture::kLimit));
  cr_assert(!pool.needs_link(now));
  pool.give_back(std::move(dialled->link), false);
  cr_assert(pool.has_idle() && !pool.needs_link(now));
  pool.set_closed(true);
  cr_assert(!pool.has_idle() && !pool.needs_link(now));
}

Test(link_pool, a_link_is_new_until_it_has_carried_a_call) {
  boost::asio::io_context loop;
  testing::FakeLeafs leafs;
  LinkPool pool(leafs, 1);
  cr_assert(!pool.take_idle());
  auto first = ibismux::testing::run_task(
      loop, pool.dial(one_leaf(), Clock::now() + DispatchFixture::kLimit));
  cr_assert(first->is_new);
  pool.give_back(std::move(first->link), false);
  auto again = pool.take_idle();
  cr_assert(again->is_new);
  pool.give_back(std::move(again->link), true);
  cr_assert(!pool.take_idle()->is_new);
  cr_assert(leafs.dials["s1-0"] == 1);
}

Test(link_pool, a_leaf_at_its_limit_is_not_dialled) {
  testing::FakeLeafs leafs;
  LinkPool pool(leafs, 1);
  pool.grant({.max_links = 2, .keep = true, .open_ahead = true});
  const TimePoint now = Clock::now();
  const Duration pause = pool.note_connection_limit(now);
  cr_assert(pause > Duration::zero());
  cr_assert(!pool.needs_link(now) && !pool.has_room(now));
  cr_assert(pool.needs_link(now + pause) && pool.has_room(now + pause));
}

}  // namespace
}  // namespace ibismux::dispatch
