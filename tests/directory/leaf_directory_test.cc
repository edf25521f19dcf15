#include "ibismux/directory/leaf_directory.h"

#include <criterion/criterion.h>

namespace ibismux::directory {
namespace {

using std::chrono::milliseconds;

/// Remembers what it was told.
class Listener : public DirectoryListener {
 public:
  void on_leaf(const LeafEntry& entry) override {
    this->known.insert(entry.instance);
    ++this->told;
  }
  void on_leaf_gone(const std::string& instance, std::string_view) override {
    this->known.erase(instance);
  }

  std::set<std::string> known;
  int told = 0;
};

LeafEntry leaf(std::string instance) {
  LeafEntry entry;
  entry.instance = std::move(instance);
  entry.service = "s1";
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
  fixture.directory.put(leaf("a"));
  cr_assert(fixture.listener.told == 2);
  LeafEntry draining = leaf("a");
  draining.draining = true;
  fixture.directory.put(draining);
  cr_assert(fixture.listener.told == 3);
}

Test(leaf_directory, an_entry_that_is_removed_is_gone_at_once) {
  Fixture fixture;
  fixture.directory.remove("a", fixture.now);
  cr_assert(fixture.listener.known == std::set<std::string>({"b"}));
  fixture.directory.remove("a", fixture.now);
  fixture.directory.remove("never", fixture.now);
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
  fixture.directory.put(leaf("a"));
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
  fixture.directory.remove("a", fixture.now + milliseconds(100));
  cr_assert(fixture.listener.known.size() == 2);
  fixture.directory.remove("b", fixture.now + LeafDirectory::kReturnTime);
  cr_assert(fixture.listener.known == std::set<std::string>({"a"}));
}

Test(leaf_directory, nothing_expires_while_the_registry_is_away) {
  Fixture fixture;
  fixture.directory.registry_lost();
  fixture.directory.remove("a", fixture.now);
  fixture.directory.expire(fixture.now + std::chrono::hours(1));
  cr_assert(fixture.listener.known.size() == 2);
}

}  // namespace
}  // namespace ibismux::directory
