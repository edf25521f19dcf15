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

Test(collection_mirror, changes_add_up) {
  CollectionMirror mirror("leafs");
  cr_assert(mirror.take(whole(5, {event("a", 4), event("b", 5)})).has_value());
  cr_assert(mirror.take(change(5, 7, {event("a", 6, true), event("c", 7)}))
                .has_value());
  const Update all = mirror.whole();
  cr_assert(all.version == 7 && all.events.size() == 2);
  cr_assert(all.events[0].object.name == "b");
  cr_assert(all.events[1].object.name == "c");
}

// Guards against old updates that replace newer ones.
Test(collection_mirror, older_news_changes_nothing) {
  CollectionMirror mirror("leafs");
  cr_assert(mirror.take(whole(9, {event("b", 8)})).has_value());
  cr_assert(!mirror.take(change(5, 7, {event("a", 6)})).has_value());
  cr_assert(!mirror.take(whole(8, {event("a", 6)})).has_value());
  cr_assert(mirror.version() == 9);
  cr_assert(mirror.whole().events.size() == 1);
}

Test(collection_mirror, news_with_a_gap_before_it_is_left_alone) {
  CollectionMirror mirror("leafs");
  cr_assert(mirror.take(whole(5, {})).has_value());
  const Update later = change(6, 7, {event("a", 7)});
  cr_assert(mirror.has_gap(later));
  cr_assert(!mirror.take(later).has_value());
  cr_assert(mirror.version() == 5);
}

Test(collection_mirror, news_that_overlaps_is_taken) {
  CollectionMirror mirror("leafs");
  cr_assert(mirror.take(whole(5, {event("a", 5)})).has_value());
  cr_assert(
      mirror.take(change(3, 6, {event("a", 5), event("b", 6)})).has_value());
  cr_assert(mirror.whole().events.size() == 2);
}

}  // namespace
}  // namespace ibismux::feed
