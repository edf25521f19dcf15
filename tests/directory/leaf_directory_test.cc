#include "ibismux/directory/leaf_directory.h"

#include <set>

#include <criterion/criterion.h>

namespace ibismux::directory {
namespace {

using std::chrono::milliseconds;

/// Records the changes that the directory reports.
class Listener : public DirectoryListener {
 public:
  void on_leaf_updated(const LeafEntry& entry) override {
    this->known.insert(entry.run.id);
    ++this->reports;
  }
  void on_leaf_removed(const std::string& id, std::string_view) override {
    this->known.erase(id);
  }

  void on_outdated_entry(const LeafEntry&) override { ++this->outdated; }

  std::set<std::string> known;
  int reports = 0;
  int outdated = 0;
};

LeafEntry leaf(std::string id) {
  LeafEntry entry;
  entry.run.id = std::move(id);
  entry.service = "s1";
  return entry;
}

/// An entry of the run of leaf "a" that started at `started`.
LeafEntry run_of_a(int started, int sequence, bool draining = false) {
  LeafEntry entry = leaf("a");
  entry.run.started = milliseconds(started);
  entry.sequence = static_cast<std::uint64_t>(sequence);
  entry.draining = draining;
  return entry;
}

struct Fixture {
  Listener listener;
  LeafDirectory directory{listener};
  TimePoint now = Clock::now();

  Fixture() { this->directory.replace({leaf("a"), leaf("b")}, this->now); }
};

Test(leaf_directory, a_listing_replaces_the_known_leafs) {
  Fixture fixture;
  fixture.directory.replace({leaf("b"), leaf("c")}, fixture.now);
  cr_assert(fixture.listener.known == std::set<std::string>({"b", "c"}));
}

Test(leaf_directory, unchanged_entries_are_not_reported_again) {
  Fixture fixture;
  fixture.directory.put(leaf("a"), fixture.now);
  cr_assert(fixture.listener.reports == 2);
  LeafEntry draining = leaf("a");
  draining.draining = true;
  fixture.directory.put(draining, fixture.now);
  cr_assert(fixture.listener.reports == 3);
}

Test(leaf_directory, a_removed_entry_removes_the_leaf_at_once) {
  Fixture fixture;
  fixture.directory.remove("a", fixture.now, nullptr);
  cr_assert(fixture.listener.known == std::set<std::string>({"b"}));
  fixture.directory.remove("a", fixture.now, nullptr);
  fixture.directory.remove("never", fixture.now, nullptr);
}

// Guards against removing running leafs whose entries expired during an outage:
// the listing after the outage is empty.
Test(leaf_directory,
     entries_that_expire_in_an_outage_are_kept_for_a_grace_period) {
  Fixture fixture;
  fixture.directory.registry_lost();
  fixture.now += milliseconds(5000);
  fixture.directory.registry_regained(fixture.now);
  fixture.directory.replace({}, fixture.now);
  cr_assert(fixture.listener.known.size() == 2);
  fixture.now += milliseconds(1500);
  fixture.directory.put(leaf("a"), fixture.now);
  fixture.now += milliseconds(500);
  cr_assert(fixture.directory.next_expiry() == fixture.now);
  fixture.directory.expire(fixture.now);
  cr_assert(fixture.listener.known == std::set<std::string>({"a"}));
  cr_assert(fixture.directory.next_expiry() == TimePoint::max());
}

Test(leaf_directory, removals_right_after_an_outage_are_delayed_too) {
  Fixture fixture;
  fixture.directory.registry_lost();
  fixture.directory.registry_regained(fixture.now);
  fixture.directory.remove("a", fixture.now + milliseconds(100), nullptr);
  cr_assert(fixture.listener.known.size() == 2);
  fixture.directory.remove(
      "b", fixture.now + LeafDirectory::kReregistrationTime, nullptr);
  cr_assert(fixture.listener.known == std::set<std::string>({"a"}));
}

// Guards against treating removed entries as expired when only this daemon had
// lost the registry.
Test(leaf_directory, missing_leafs_are_removed_if_the_registry_was_up) {
  Fixture fixture;
  const TimePoint up_since = fixture.now - milliseconds(60'000);
  fixture.directory.registry_lost();
  fixture.now += milliseconds(5000);
  fixture.directory.registry_regained(fixture.now);
  fixture.directory.remove("a", fixture.now, nullptr);
  cr_assert(fixture.listener.known.contains("a"));
  fixture.directory.registry_available_since(up_since);
  cr_assert(fixture.directory.next_expiry() <= fixture.now);
  fixture.directory.expire(fixture.now);
  cr_assert(!fixture.listener.known.contains("a"));
  fixture.directory.remove("b", fixture.now, nullptr);
  cr_assert(!fixture.listener.known.contains("b"));
}

// Guards against removing running leafs whose entries expired during an outage
// that other daemons noticed and this one did not.
Test(leaf_directory,
     missing_leafs_are_kept_after_an_outage_that_others_noticed) {
  Fixture fixture;
  fixture.directory.registry_available_since(fixture.now);
  fixture.directory.remove("a", fixture.now, nullptr);
  cr_assert(fixture.listener.known.contains("a"));
  cr_assert(fixture.directory.next_expiry() ==
            fixture.now + LeafDirectory::kReregistrationTime);
}

Test(leaf_directory, nothing_expires_while_the_registry_is_down) {
  Fixture fixture;
  fixture.directory.registry_lost();
  fixture.directory.remove("a", fixture.now, nullptr);
  fixture.directory.expire(fixture.now + std::chrono::hours(1));
  cr_assert(fixture.listener.known.size() == 2);
}

// Guards against a delayed write that reverts a leaf's draining state.
Test(leaf_directory, a_delayed_write_of_the_same_run_is_ignored) {
  Fixture fixture;
  fixture.directory.put(run_of_a(500, 7, true), fixture.now);
  const int reports = fixture.listener.reports;
  fixture.directory.put(run_of_a(500, 6), fixture.now);
  fixture.directory.replace({run_of_a(500, 6), leaf("b")}, fixture.now);
  cr_assert(fixture.listener.reports == reports);
  cr_assert(fixture.listener.outdated == 2);
  cr_assert(fixture.listener.known.contains("a"));
}

// Guards against a delayed write that adds a removed leaf again, which would
// then be called.
Test(leaf_directory, a_delayed_write_of_a_removed_leaf_is_ignored) {
  Fixture fixture;
  fixture.directory.put(run_of_a(500, 7, true), fixture.now);
  fixture.directory.remove("a", fixture.now, nullptr);
  fixture.directory.put(run_of_a(500, 6), fixture.now);
  fixture.directory.put(run_of_a(500, 7, true), fixture.now);
  fixture.directory.put(run_of_a(400, 90), fixture.now);
  cr_assert(!fixture.listener.known.contains("a"));
  cr_assert(fixture.listener.outdated == 3);
  // A higher sequence number shows that only the entry had expired.
  fixture.directory.put(run_of_a(500, 8), fixture.now);
  cr_assert(fixture.listener.known.contains("a"));
}

Test(leaf_directory, removed_leafs_are_remembered_for_a_limited_time) {
  Fixture fixture;
  fixture.directory.put(run_of_a(500, 7), fixture.now);
  fixture.directory.remove("a", fixture.now, nullptr);
  fixture.now += LeafDirectory::kTombstoneRetention + milliseconds(1);
  fixture.directory.remove("b", fixture.now, nullptr);
  fixture.directory.put(run_of_a(500, 6), fixture.now);
  cr_assert(fixture.listener.known.contains("a"));
}

// Guards against ignoring the entries of a new run, whose sequence numbers
// start from 1 again.
Test(leaf_directory, a_restarted_leaf_begins_a_new_sequence) {
  Fixture fixture;
  fixture.directory.put(run_of_a(500, 40, true), fixture.now);
  const int reports = fixture.listener.reports;
  fixture.directory.put(run_of_a(900, 1), fixture.now);
  cr_assert(fixture.listener.reports == reports + 1);
  fixture.directory.put(run_of_a(500, 41), fixture.now);
  cr_assert(fixture.listener.reports == reports + 1);
  cr_assert(fixture.listener.outdated == 1);
}

// Guards against removing the current run when the entry of an earlier run is
// removed.
Test(leaf_directory, removing_an_earlier_run_keeps_the_current_one) {
  Fixture fixture;
  fixture.directory.put(run_of_a(900, 3), fixture.now);
  const LeafEntry former = run_of_a(500, 40);
  fixture.directory.remove("a", fixture.now, &former);
  cr_assert(fixture.listener.known.contains("a"));
  // The new run is expected to write its entry again within the guaranteed
  // time.
  const TimePoint until = fixture.now + LeafDirectory::kReregistrationTime;
  cr_assert(fixture.directory.next_expiry() == until);
  fixture.directory.put(run_of_a(900, 4), fixture.now);
  cr_assert(fixture.directory.next_expiry() == TimePoint::max());
  // If it doesn't, it is removed as well.
  fixture.directory.remove("a", fixture.now, &former);
  fixture.directory.expire(until);
  cr_assert(!fixture.listener.known.contains("a"));
}

Test(leaf_directory, entries_without_a_start_time_have_no_order) {
  Fixture fixture;
  fixture.directory.put(run_of_a(0, 7), fixture.now);
  const int reports = fixture.listener.reports;
  fixture.directory.put(run_of_a(0, 6, true), fixture.now);
  cr_assert(fixture.listener.reports == reports + 1);
  cr_assert(fixture.listener.outdated == 0);
}

// Guards against replacing an entry with a start time by one without.
Test(leaf_directory, an_entry_that_lost_its_start_time_removes_the_leaf) {
  Fixture fixture;
  fixture.directory.put(run_of_a(500, 7), fixture.now);
  fixture.directory.put(run_of_a(0, 8), fixture.now);
  cr_assert(fixture.listener.known == std::set<std::string>({"b"}));
  fixture.directory.put(run_of_a(500, 9), fixture.now);
  cr_assert(fixture.listener.known.contains("a"));
}

Test(leaf_directory, an_unreadable_entry_removes_the_leaf_even_in_an_outage) {
  Fixture fixture;
  fixture.directory.registry_lost();
  fixture.directory.discard("a", fixture.now);
  cr_assert(fixture.listener.known == std::set<std::string>({"b"}));
}

struct AdoptedFixture : Fixture {
  AdoptedFixture() { this->directory.adopt({run_of_a(500, 7), x}, this->now); }

  bool knows_x() const { return this->listener.known.contains("x"); }

  /// Lets leafs expire `after` the adoption.
  void expire(milliseconds after) { this->directory.expire(this->now + after); }

  const LeafEntry x = leaf("x");
  const milliseconds time = LeafDirectory::kReregistrationTime;
};

// Guards against refusing all requests after a start while the registry has
// lost the entries of running leafs.
Test(adopted_leafs, are_kept_until_they_must_have_registered_again) {
  AdoptedFixture fixture;
  cr_assert(fixture.knows_x());
  cr_assert(!fixture.directory.is_complete());
  cr_assert(fixture.directory.next_expiry() == fixture.now + fixture.time);
  fixture.directory.replace({leaf("a"), leaf("b")}, fixture.now);
  fixture.expire(fixture.time - milliseconds(1));
  cr_assert(fixture.knows_x());
  fixture.expire(fixture.time);
  cr_assert(!fixture.knows_x());
  cr_assert(fixture.directory.is_complete());
}

// Guards against calls to leafs that have left, at a daemon whose peers know
// that the registry has lost nothing.
Test(adopted_leafs, are_not_added_while_the_registry_has_long_been_available) {
  Fixture fixture;
  fixture.directory.registry_available_since(fixture.now -
                                             std::chrono::hours(1));
  fixture.directory.adopt({leaf("gone")}, fixture.now);
  cr_assert(!fixture.listener.known.contains("gone"));
}

// The same, if the peers tell it after the adoption.
Test(adopted_leafs, go_when_peers_tell_that_the_registry_was_available) {
  AdoptedFixture fixture;
  fixture.directory.registry_available_since(fixture.now -
                                             std::chrono::hours(1));
  fixture.directory.expire(fixture.now);
  cr_assert(!fixture.knows_x());
}

Test(adopted_leafs, stay_when_their_entries_arrive) {
  AdoptedFixture fixture;
  fixture.directory.put(fixture.x, fixture.now);
  cr_assert(fixture.directory.is_complete());
  fixture.expire(fixture.time);
  cr_assert(fixture.knows_x());
}

// Guards against calls to a leaf that is known to have ended.
Test(adopted_leafs, are_removed_when_their_removal_is_reported) {
  AdoptedFixture fixture;
  fixture.directory.remove("x", fixture.now, &fixture.x);
  cr_assert(!fixture.knows_x());
}

// Guards against replacing what the registry says by an older state.
Test(adopted_leafs, exclude_known_ones_and_those_removed_lately) {
  Fixture fixture;
  fixture.directory.put(run_of_a(500, 8), fixture.now);
  fixture.directory.remove("a", fixture.now, nullptr);
  const int reports = fixture.listener.reports;
  LeafEntry changed = leaf("b");
  changed.port = 9;
  fixture.directory.adopt({run_of_a(500, 8), changed}, fixture.now);
  cr_assert(fixture.listener.reports == reports);
  cr_assert(fixture.directory.is_complete());
  fixture.directory.adopt({run_of_a(600, 1)}, fixture.now);
  cr_assert(fixture.listener.known.contains("a"));
}

// Guards against a leaf that is passed over for its late return.
Test(adopted_leafs, that_register_late_are_used_again) {
  Fixture fixture;
  LeafEntry entry = run_of_a(500, 7);
  entry.run.id = "x";
  fixture.directory.adopt({entry}, fixture.now);
  fixture.now += LeafDirectory::kReregistrationTime;
  fixture.directory.expire(fixture.now);
  cr_assert(!fixture.listener.known.contains("x"));
  fixture.directory.put(entry, fixture.now);
  cr_assert(fixture.listener.known.contains("x"));
}

// Guards against leafs that are kept forever by a registry that fails again and
// again.
Test(adopted_leafs, are_kept_longer_for_one_outage_only) {
  AdoptedFixture fixture;
  fixture.directory.registry_lost();
  fixture.expire(fixture.time);
  cr_assert(fixture.knows_x());
  fixture.directory.registry_regained(fixture.now + fixture.time);
  fixture.expire(fixture.time);
  cr_assert(fixture.knows_x());
  fixture.directory.registry_lost();
  fixture.directory.registry_regained(fixture.now + fixture.time * 2 -
                                      milliseconds(1));
  fixture.directory.registry_available_since(fixture.now + fixture.time * 2);
  fixture.expire(fixture.time * 2);
  cr_assert(!fixture.knows_x());
}

// Guards against a write of the checkpoint for each heartbeat.
Test(leaf_directory, the_revision_rises_with_leafs_and_not_with_heartbeats) {
  Fixture fixture;
  fixture.directory.put(run_of_a(500, 7), fixture.now);
  const auto before = fixture.directory.revision();
  fixture.directory.put(run_of_a(500, 8), fixture.now);
  cr_assert(fixture.directory.revision() == before);
  fixture.directory.put(run_of_a(500, 9, true), fixture.now);
  cr_assert(fixture.directory.revision() == before + 1);
  fixture.directory.remove("b", fixture.now, nullptr);
  cr_assert(fixture.directory.revision() == before + 2);
}

}  // namespace
}  // namespace ibismux::directory
