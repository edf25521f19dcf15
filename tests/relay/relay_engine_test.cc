#include "ibismux/relay/relay_engine.h"

#include <algorithm>
#include <set>

// Criterion's macros come after the other headers.
#include <criterion/criterion.h>

namespace ibismux::relay {
namespace {

using namespace std::chrono_literals;
using membership::Member;
using membership::MembershipView;

/// The view of member number `self` in a fleet of `count` members in `zones`
/// zones.
MembershipView view_of(std::size_t count, std::size_t zones, std::size_t self) {
  MembershipView view;
  view.revision = 1;
  for (std::size_t i = 0; i < count; ++i) {
    Member member;
    member.name = "d" + std::to_string(1000 + i);
    member.zone = "z" + std::to_string(i % zones);
    view.members.push_back(member);
  }
  view.self = view.members[self].name;
  return view;
}

TimePoint start_time() {
  return TimePoint(1h);
}

Test(spread_tree, every_member_is_reached_once_by_bounded_fan_out) {
  constexpr std::size_t kMembers = 150;
  std::map<std::string, std::set<std::string>> children_of;
  std::size_t roots = 0;
  std::size_t watchers = 0;
  for (std::size_t i = 0; i < kMembers; ++i) {
    const MembershipView view = view_of(kMembers, 3, i);
    membership::SpreadTree tree(2, 8);
    tree.rebuild(view);
    cr_assert(tree.children().size() <= 8);
    roots += tree.parent() ? 0 : 1;
    watchers += tree.watches() ? 1 : 0;
    for (const std::string& child : tree.children()) {
      for (auto& [parent, children] : children_of) {
        cr_assert(!children.contains(child));
      }
      children_of[view.self].insert(child);
    }
  }
  std::size_t reached = 0;
  for (const auto& [parent, children] : children_of) {
    reached += children.size();
  }
  cr_assert(roots == 3 && watchers == 6);
  cr_assert(reached == kMembers - roots);
}

Test(spread_tree, ranks_order_the_whole_fleet) {
  std::set<std::size_t> ranks;
  for (std::size_t i = 0; i < 30; ++i) {
    membership::SpreadTree tree(2, 8);
    tree.rebuild(view_of(30, 3, i));
    ranks.insert(tree.fleet_rank());
  }
  cr_assert(ranks.size() == 30 && *ranks.rbegin() == 29);
}

Test(tallies, reached_never_exceeds_the_true_number) {
  Tallies tallies;
  for (Generation generation = 1; generation <= 9; ++generation) {
    tallies.add(generation, 1);
  }
  cr_assert(tallies.members() == 9);
  cr_assert(tallies.counts().size() == 4);
  for (Generation generation = 1; generation <= 9; ++generation) {
    cr_assert(tallies.reached(generation) <= 10 - generation);
  }
  cr_assert(tallies.reached(9) == 1);
}

Test(relay_engine, only_a_newer_push_starts_a_fetch) {
  RelayEngine engine({}, 1, start_time());
  engine.on_view(view_of(7, 3, 0), start_time());
  engine.on_applied(5, Origin::kPeer, start_time());
  static_cast<void>(engine.take_commands());
  engine.on_push("d1001", 4, 0s, start_time());
  cr_assert(!engine.take_commands().fetch);
  engine.on_push("d1001", 6, 0s, start_time());
  cr_assert(engine.take_commands().fetch == "d1001");
}

// Failure: a push that arrives during a fetch is lost, and the daemon stays on
// the older release until the next comparison of generations.
Test(relay_engine, a_push_during_a_fetch_starts_another_fetch) {
  RelayEngine engine({}, 1, start_time());
  engine.on_view(view_of(7, 3, 0), start_time());
  engine.on_push("d1001", 1, 0s, start_time());
  cr_assert(engine.take_commands().fetch == "d1001");
  engine.on_push("d1002", 2, 0s, start_time());
  cr_assert(!engine.take_commands().fetch);
  engine.on_applied(1, Origin::kPeer, start_time());
  engine.on_fetched(0s, start_time());
  cr_assert(engine.take_commands().fetch == "d1002");
}

// Failure: the peers' knowledge of the platform is old, but their answers keep
// the daemon from reading the platform; a zone serves an old configuration.
Test(relay_engine, stale_peers_make_it_read_the_platform) {
  RelayEngine engine({}, 1, start_time());
  engine.on_view(view_of(7, 3, 0), start_time());
  engine.on_applied(1, Origin::kPeer, start_time());
  TimePoint now = start_time();
  std::size_t reads = 0;
  for (; now < start_time() + 25s; now += 50ms) {
    engine.on_fetched(now - start_time(), now);
    engine.tick(now);
    reads += engine.take_commands().read_platform ? 1 : 0;
  }
  cr_assert(reads == 0);
  for (; now < start_time() + 125s; now += 50ms) {
    engine.on_fetched(now - start_time(), now);
    engine.tick(now);
    if (engine.take_commands().read_platform) {
      ++reads;
      engine.on_platform_read_done();  // It failed.
    }
  }
  // One read every 7.5 to 12.5 s, starting at 30 s.
  cr_assert(reads >= 7 && reads <= 14);
  engine.on_fetched(0s, now);
  for (; now < start_time() + 150s; now += 50ms) {
    engine.tick(now);
    cr_assert(!engine.take_commands().read_platform);
  }
}

// Failure: when the whole fleet starts, all daemons read the platform at once
// and it refuses them.
Test(relay_engine, a_cold_start_spreads_platform_reads) {
  constexpr std::size_t kMembers = 2400;
  std::map<std::int64_t, std::size_t> reads_by_second;
  for (std::size_t i = 0; i < kMembers; i += 8) {
    RelayEngine engine({}, i, start_time());
    engine.on_view(view_of(kMembers, 16, i), start_time());
    const bool watches = engine.tree().watches();
    for (TimePoint now = start_time(); now < start_time() + 15s; now += 50ms) {
      engine.tick(now);
      const bool read = engine.take_commands().read_platform;
      cr_assert(watches || !read || now >= start_time() + 2s);
      reads_by_second[(now - start_time()) / 1s] += read ? 1 : 0;
    }
  }
  for (const auto& [second, reads] : reads_by_second) {
    cr_assert(reads * 8 < 500, "%zu reads in one second", reads * 8);
  }
}

Test(relay_engine, subtree_tallies_are_reported_when_they_change) {
  for (std::size_t i = 0; i < 40; ++i) {
    RelayEngine engine({}, 1, start_time());
    engine.on_view(view_of(40, 1, i), start_time());
    if (!engine.tree().parent() || engine.tree().children().empty()) {
      continue;
    }
    engine.on_applied(3, Origin::kPeer, start_time());
    Tallies child;
    child.add(2, 4);
    engine.on_report(engine.tree().children().front(), child, start_time());
    engine.tick(start_time());
    cr_assert(engine.take_commands().report_to == engine.tree().parent());
    cr_assert(engine.subtree_tallies().members() == 5);
    cr_assert(engine.subtree_tallies().reached(3) == 1);
    engine.tick(start_time() + 50ms);
    cr_assert(!engine.take_commands().report_to);
    engine.tick(start_time() + 40s);  // The child's report has expired.
    cr_assert(engine.subtree_tallies().members() == 1);
    return;
  }
  cr_assert_fail("no inner member");
}

}  // namespace
}  // namespace ibismux::relay
