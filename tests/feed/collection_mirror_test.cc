#include "ibismux/feed/collection_mirror.h"

#include <criterion/criterion.h>

namespace ibismux::feed {
namespace {

store::WatchBatch::Event event(std::string name,
                               store::Version version,
                               bool removed = false) {
  return {{"leafs", std::move(name), version, "v"}, removed};
}

Update change(store::Version since,
              store::Version version,
              std::vector<store::WatchBatch::Event> events) {
  return {"leafs", since, version, false, std::move(events)};
}

Update whole(store::Version version,
             std::vector<store::WatchBatch::Event> events) {
  return {"leafs", 0, version, true, std::move(events)};
}

std::optional<Update> apply(CollectionMirror& mirror, Update update) {
  return mirror.apply(std::move(update), Clock::now());
}

Test(collection_mirror, changes_are_applied_to_the_listing) {
  CollectionMirror mirror("leafs");
  cr_assert(
      apply(mirror, whole(5, {event("a", 4), event("b", 5)})).has_value());
  cr_assert(apply(mirror, change(5, 7, {event("a", 6, true), event("c", 7)}))
                .has_value());
  const Update all = mirror.whole();
  cr_assert(all.version == 7 && all.events.size() == 2);
  cr_assert(all.events[0].object.name == "b");
  cr_assert(all.events[1].object.name == "c");
}

// Guards against old updates that overwrite newer ones.
Test(collection_mirror, older_updates_are_ignored) {
  CollectionMirror mirror("leafs");
  cr_assert(apply(mirror, whole(9, {event("b", 8)})).has_value());
  cr_assert(!apply(mirror, change(5, 7, {event("a", 6)})).has_value());
  cr_assert(!apply(mirror, whole(8, {event("a", 6)})).has_value());
  cr_assert(mirror.version() == 9);
  cr_assert(mirror.whole().events.size() == 1);
}

Test(collection_mirror, updates_after_a_gap_are_ignored) {
  CollectionMirror mirror("leafs");
  cr_assert(apply(mirror, whole(5, {})).has_value());
  const Update later = change(6, 7, {event("a", 7)});
  cr_assert(mirror.has_gap(later));
  cr_assert(!apply(mirror, later).has_value());
  cr_assert(mirror.version() == 5);
}

Test(collection_mirror, overlapping_updates_are_applied) {
  CollectionMirror mirror("leafs");
  cr_assert(apply(mirror, whole(5, {event("a", 5)})).has_value());
  cr_assert(
      apply(mirror, change(3, 6, {event("a", 5), event("b", 6)})).has_value());
  cr_assert(mirror.whole().events.size() == 2);
}

store::Version restored(std::uint64_t revision) {
  return store::make_version(1, revision);
}

// Guards against ignoring a restored configuration because the store's
// revisions have decreased.
Test(collection_mirror, a_restored_store_is_newer_at_any_revision) {
  CollectionMirror mirror("leafs");
  apply(mirror, whole(87, {event("a", 80)}));
  cr_assert(apply(mirror, whole(restored(84), {event("a", restored(84))}))
                .has_value());
  cr_assert(mirror.version() == restored(84));
  cr_assert(!apply(mirror, whole(99, {event("a", 99)})).has_value());
}

// Guards against removing leafs until their entries are written again.
Test(collection_mirror, objects_missing_after_a_restore_are_kept_for_a_while) {
  CollectionMirror mirror("leafs");
  apply(mirror, whole(87, {event("a", 80), event("b", 81), event("c", 82)}));
  const auto fresh =
      apply(mirror, whole(restored(84), {event("a", restored(80))}));
  cr_assert(fresh->events.size() == 1);
  cr_assert(mirror.settles_at().has_value());
  apply(mirror, change(restored(84), restored(85), {event("b", restored(85))}));
  const auto lost = mirror.settle();
  cr_assert(lost.size() == 1 && lost[0].object.name == "c");
  cr_assert(lost[0].removed && lost[0].lost);
  cr_assert(!mirror.settles_at().has_value());
  cr_assert(mirror.whole().events.size() == 2);
}

Test(collection_mirror, a_removal_after_a_restore_applies_at_once) {
  CollectionMirror mirror("leafs");
  apply(mirror, whole(87, {event("a", 80)}));
  apply(mirror, whole(restored(84), {event("a", restored(80))}));
  cr_assert(apply(mirror, whole(restored(86), {}))->events.size() == 1);
  cr_assert(mirror.settle().empty());
}

// Guards against keeping an object of an earlier era, received from a peer, for
// ever.
Test(collection_mirror, objects_of_an_earlier_era_from_a_peer_settle_too) {
  CollectionMirror mirror("leafs");
  apply(mirror, whole(restored(84), {event("a", 80)}));
  cr_assert(mirror.settles_at().has_value());
  cr_assert(mirror.settle().size() == 1);
}

}  // namespace
}  // namespace ibismux::feed
