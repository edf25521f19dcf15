#include "ibismux/directory/leaf_directory.h"

#include <set>

#include <criterion/criterion.h>

namespace ibismux::directory {
namespace {

using std::chrono::milliseconds;

/// Remembers what it was told.
class Listener : public DirectoryListener {
 public:
  void on_leaf(const LeafEntry& entry) override {
    this->known.insert(entry.run.id);
    ++this->told;
  }
  void on_leaf_gone(const std::string& id, std::string_view) override {
    this->known.erase(id);
  }

  void on_outdated_entry(const LeafEntry&) override { ++this->outdated; }

  std::set<std::string> known;
  int told = 0;
  int outdated = 0;
};

LeafEntry leaf(std::string id) {
  LeafEntry entry;
  entry.run.id = std::move(id);
  entry.service = "s1";
  return entry;
}

/// Entry number `sequence` of the run of leaf "a" that began at `started`.
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

Test(leaf_directory, a_listing_replaces_what_was_known) {
  Fixture fixture;
  fixture.directory.replace({leaf("b"), leaf("c")}, fixture.now);
  cr_assert(fixture.listener.known == std::set<std::string>({"b", "c"}));
}

Test(leaf_directory, what_has_not_changed_is_not_told_again) {
  Fixture fixture;
  fixture.directory.put(leaf("a"), fixture.now);
  cr_assert(fixture.listener.told == 2);
  LeafEntry draining = leaf("a");
  draining.draining = true;
  fixture.directory.put(draining, fixture.now);
  cr_assert(fixture.listener.told == 3);
}

Test(leaf_directory, an_entry_that_is_removed_is_gone_at_once) {
  Fixture fixture;
  fixture.directory.remove("a", fixture.now, nullptr);
  cr_assert(fixture.listener.known == std::set<std::string>({"b"}));
  fixture.directory.remove("a", fixture.now, nullptr);
  fixture.directory.remove("never", fixture.now, nullptr);
}

// Guards against an empty list after an outage that is taken at its word.
Test(leaf_directory,
     entries_that_lapse_in_an_outage_are_kept_until_they_return) {
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

Test(leaf_directory, removals_that_are_told_right_after_an_outage_wait_too) {
  Fixture fixture;
  fixture.directory.registry_lost();
  fixture.directory.registry_regained(fixture.now);
  fixture.directory.remove("a", fixture.now + milliseconds(100), nullptr);
  cr_assert(fixture.listener.known.size() == 2);
  fixture.directory.remove("b", fixture.now + LeafDirectory::kReturnTime,
                           nullptr);
  cr_assert(fixture.listener.known == std::set<std::string>({"a"}));
}

// Guards against removals that pass for entries which lapsed in an outage.
Test(leaf_directory, what_is_missing_is_gone_where_the_registry_was_up) {
  Fixture fixture;
  const TimePoint up_since = fixture.now - milliseconds(60'000);
  fixture.directory.registry_lost();
  fixture.now += milliseconds(5000);
  fixture.directory.registry_regained(fixture.now);
  fixture.directory.remove("a", fixture.now, nullptr);
  cr_assert(fixture.listener.known.contains("a"));
  fixture.directory.registry_unbroken_since(up_since);
  cr_assert(fixture.directory.next_expiry() <= fixture.now);
  fixture.directory.expire(fixture.now);
  cr_assert(!fixture.listener.known.contains("a"));
  fixture.directory.remove("b", fixture.now, nullptr);
  cr_assert(!fixture.listener.known.contains("b"));
}

// The other way round: an outage that this daemon did not notice itself.
Test(leaf_directory,
     what_is_missing_after_an_outage_that_others_noticed_stays) {
  Fixture fixture;
  fixture.directory.registry_unbroken_since(fixture.now);
  fixture.directory.remove("a", fixture.now, nullptr);
  cr_assert(fixture.listener.known.contains("a"));
  cr_assert(fixture.directory.next_expiry() ==
            fixture.now + LeafDirectory::kReturnTime);
}

Test(leaf_directory, nothing_expires_while_the_registry_is_away) {
  Fixture fixture;
  fixture.directory.registry_lost();
  fixture.directory.remove("a", fixture.now, nullptr);
  fixture.directory.expire(fixture.now + std::chrono::hours(1));
  cr_assert(fixture.listener.known.size() == 2);
}

// Guards against a late write that undoes a leaf's draining.
Test(leaf_directory, a_late_write_of_the_same_run_is_passed_over) {
  Fixture fixture;
  fixture.directory.put(run_of_a(500, 7, true), fixture.now);
  const int told = fixture.listener.told;
  fixture.directory.put(run_of_a(500, 6), fixture.now);
  fixture.directory.replace({run_of_a(500, 6), leaf("b")}, fixture.now);
  cr_assert(fixture.listener.told == told);
  cr_assert(fixture.listener.outdated == 2);
  cr_assert(fixture.listener.known.contains("a"));
}

// The same, seen of a leaf that is gone already: it would be called again.
Test(leaf_directory, a_late_write_of_a_leaf_that_is_gone_is_passed_over) {
  Fixture fixture;
  fixture.directory.put(run_of_a(500, 7, true), fixture.now);
  fixture.directory.remove("a", fixture.now, nullptr);
  fixture.directory.put(run_of_a(500, 6), fixture.now);
  fixture.directory.put(run_of_a(500, 7, true), fixture.now);
  fixture.directory.put(run_of_a(400, 90), fixture.now);
  cr_assert(!fixture.listener.known.contains("a"));
  cr_assert(fixture.listener.outdated == 3);
  // Its entry had only lapsed: it writes on.
  fixture.directory.put(run_of_a(500, 8), fixture.now);
  cr_assert(fixture.listener.known.contains("a"));
}

Test(leaf_directory, leafs_that_are_gone_are_remembered_for_a_while) {
  Fixture fixture;
  fixture.directory.put(run_of_a(500, 7), fixture.now);
  fixture.directory.remove("a", fixture.now, nullptr);
  fixture.now += LeafDirectory::kRememberGone + milliseconds(1);
  fixture.directory.remove("b", fixture.now, nullptr);
  fixture.directory.put(run_of_a(500, 6), fixture.now);
  cr_assert(fixture.listener.known.contains("a"));
}

// Guards against entries of a new run that pass for old ones by their number.
Test(leaf_directory, a_leaf_that_starts_again_counts_anew) {
  Fixture fixture;
  fixture.directory.put(run_of_a(500, 40, true), fixture.now);
  const int told = fixture.listener.told;
  fixture.directory.put(run_of_a(900, 1), fixture.now);
  cr_assert(fixture.listener.told == told + 1);
  fixture.directory.put(run_of_a(500, 41), fixture.now);
  cr_assert(fixture.listener.told == told + 1);
  cr_assert(fixture.listener.outdated == 1);
}

// Guards against the removal of a former run that ends the present one.
Test(leaf_directory, the_end_of_a_former_run_leaves_the_new_one) {
  Fixture fixture;
  fixture.directory.put(run_of_a(900, 3), fixture.now);
  const LeafEntry former = run_of_a(500, 40);
  fixture.directory.remove("a", fixture.now, &former);
  cr_assert(fixture.listener.known.contains("a"));
  // The new run writes its entry anew, within the time that the store promises.
  const TimePoint until = fixture.now + LeafDirectory::kReturnTime;
  cr_assert(fixture.directory.next_expiry() == until);
  fixture.directory.put(run_of_a(900, 4), fixture.now);
  cr_assert(fixture.directory.next_expiry() == TimePoint::max());
  // Where it doesn't, it is gone as well.
  fixture.directory.remove("a", fixture.now, &former);
  fixture.directory.expire(until);
  cr_assert(!fixture.listener.known.contains("a"));
}

Test(leaf_directory, leafs_that_do_not_say_when_they_started_go_by_their_id) {
  Fixture fixture;
  fixture.directory.put(run_of_a(0, 7), fixture.now);
  const int told = fixture.listener.told;
  fixture.directory.put(run_of_a(0, 6, true), fixture.now);
  cr_assert(fixture.listener.told == told + 1);
  cr_assert(fixture.listener.outdated == 0);
}

// Guards against an entry without a start that replaces one which has it.
Test(leaf_directory, an_entry_that_lost_its_start_names_no_leaf) {
  Fixture fixture;
  fixture.directory.put(run_of_a(500, 7), fixture.now);
  fixture.directory.put(run_of_a(0, 8), fixture.now);
  cr_assert(fixture.listener.known == std::set<std::string>({"b"}));
  fixture.directory.put(run_of_a(500, 9), fixture.now);
  cr_assert(fixture.listener.known.contains("a"));
}

Test(leaf_directory, an_unreadable_entry_counts_at_once_also_in_an_outage) {
  Fixture fixture;
  fixture.directory.registry_lost();
  fixture.directory.discard("a", fixture.now);
  cr_assert(fixture.listener.known == std::set<std::string>({"b"}));
}

}  // namespace
}  // namespace ibismux::directory
