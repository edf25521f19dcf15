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

// Symptom: after each outage of the registry all requests are refused.
// Sequence: the registry is away for some seconds; the entries of living leafs
// lapse there, as it can't hear them; it is back, and its list is empty until
// they have written again.
// Cause: a list right after an outage was taken at its word.
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

// Symptom: leafs that have left are called for seconds more. Sequence: this
// daemon loses its way to the registry, which serves all others, and regains
// it; entries that were removed meanwhile are missing. Cause: they passed for
// ones that had lapsed in an outage.
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

// Symptom: a leaf that leaves gets calls up to the moment at which it ends.
// Sequence: it writes that it is ready, and its host gives the write up; it
// writes that it drains; the store carries the first write out after all.
// Cause: the entry was taken over whatever its number.
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

// Symptom: a leaf that has started again is never called. Sequence: it keeps
// its id, and counts its entries from 1 again; the last of its former run had
// number 40. Cause: entries were compared by their numbers alone.
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

// Symptom: a leaf that has just started again is gone for the tier. Sequence: a
// late write of its former run replaces its entry, and the store, which hears
// nothing more of that run, removes it. Cause: the removal was taken to be of
// the run that is in use.
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

// Symptom: calls go to an address at which no leaf is. Sequence: another writer
// replaces the entry of a leaf by one that is well formed, but lacks its start.
// Cause: it was taken for one of a leaf that never says when it started.
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
