#include "ibismux/release/candidate.h"

#include <algorithm>

#include "tests/release/sample_objects.h"

#include <criterion/criterion.h>

namespace ibismux::release {
namespace {

using testing::record_of;

constexpr std::int64_t kNow = 1000;

ReleaseContents sample_base() {
  ReleaseContents base;
  base.head.generation = 1;
  base.head.change_count = 7;
  base.objects = testing::sample_objects();
  return base;
}

/// What the store holds when all of `base` is as it was written.
ObjectView view_of(const ReleaseContents& base) {
  ObjectView view;
  for (const auto& [key, object] : base.objects) {
    ObjectRecord record{.key = key, .spec = *object.spec};
    record.change_id = object.change_id;
    view.objects.insert({key, ObservedObject{object.version, record}});
    view.version = std::max(view.version, object.version);
  }
  return view;
}

void write(ObjectView& view, const std::string& json) {
  const ObjectRecord record = record_of(json);
  view.objects.insert_or_assign(record.key,
                                ObservedObject{++view.version, record});
}

void erase(ObjectView& view, ObjectKind kind, const std::string& name) {
  view.objects.erase({kind, name});
  ++view.version;
}

const Rejection* rejection_of(const Candidate& candidate,
                              ObjectKind kind,
                              const std::string& name) {
  const auto found = candidate.rejections.find({kind, name});
  return found == candidate.rejections.end() ? nullptr : &found->second;
}

bool mentions(const Rejection* rejection, const std::string& text) {
  return rejection != nullptr &&
         rejection->reason.find(text) != std::string::npos;
}

constexpr const char* kOtherSnapshot =
    "{'kind':'snapshot','name':'v2','spec':{'service':'bays','sequence':2,"
    "'shards':['high','low']}}";
constexpr const char* kTwinSnapshot =
    "{'kind':'snapshot','name':'v2b','spec':{'service':'bays','sequence':2,"
    "'shards':['high','low']}}";

Test(candidate, does_not_differ_where_nothing_changed) {
  const ReleaseContents base = sample_base();
  cr_assert(!decide(base, view_of(base), kNow).differs);
}

Test(candidate, accepts_all_objects_in_whatever_order_they_come) {
  ObjectView view;
  for (auto it = std::rbegin(testing::kAllSamples);
       it != std::rend(testing::kAllSamples); ++it) {
    write(view, *it);
  }
  const Candidate candidate = decide(ReleaseContents{}, view, kNow);
  cr_assert(candidate.objects.size() == 7 && candidate.rejections.empty());
  cr_assert(candidate.changes.size() == 7);
  cr_assert(candidate.changes.front().sequence == 1);
  cr_assert(candidate.changes.front().who == "platform");
}

Test(candidate, keeps_the_last_accepted_version_of_an_invalid_object) {
  const ReleaseContents base = sample_base();
  ObjectView view = view_of(base);
  write(view,
        "{'kind':'shard','name':'low','spec':{'service':'bays','begin':0,"
        "'end':90,'replicas':['a']}}");
  const Candidate candidate = decide(base, view, kNow);
  cr_assert(candidate.differs && candidate.changes.empty());
  cr_assert(candidate.objects == base.objects);
  cr_assert(mentions(rejection_of(candidate, ObjectKind::kShard, "low"),
                     "snapshot/v1: spec.shards must cover [0, 65536) without "
                     "gap or overlap; there is a gap before shard/high"));
}

Test(candidate, accepts_together_what_is_valid_only_together) {
  const ReleaseContents base = sample_base();
  ObjectView view = view_of(base);
  write(view,
        "{'kind':'shard','name':'low','spec':{'service':'bays','begin':0,"
        "'end':90,'replicas':['a']}}");
  write(view,
        "{'kind':'shard','name':'high','spec':{'service':'bays','begin':90,"
        "'end':65536,'replicas':['a']}}");
  const Candidate candidate = decide(base, view, kNow);
  cr_assert(candidate.changes.size() == 2 && candidate.rejections.empty());
}

// Failure: two snapshots of one sequence are in force.
Test(candidate, accepts_exactly_one_of_two_that_are_valid_only_alone) {
  const ReleaseContents base = sample_base();
  ObjectView view = view_of(base);
  write(view, kTwinSnapshot);
  write(view, kOtherSnapshot);
  const Candidate candidate = decide(base, view, kNow);
  cr_assert(candidate.changes.size() == 1);
  cr_assert(candidate.changes[0].object == "snapshot:v2b");
  cr_assert(mentions(rejection_of(candidate, ObjectKind::kSnapshot, "v2"),
                     "spec.sequence must be unique in its service"));
}

// Failure: a later change undoes one that is in force.
Test(candidate, prefers_what_is_in_force) {
  const ReleaseContents base = sample_base();
  ObjectView view = view_of(base);
  write(view,
        "{'kind':'backend_server','name':'0','spec':{'address':'10.0.0.1',"
        "'port':80,'zone':'z'}}");
  const Candidate candidate = decide(base, view, kNow);
  cr_assert(candidate.changes.empty());
  cr_assert(mentions(rejection_of(candidate, ObjectKind::kBackendServer, "0"),
                     "must be unique"));
}

Test(candidate, refuses_a_deletion_that_others_need) {
  const ReleaseContents base = sample_base();
  ObjectView view = view_of(base);
  erase(view, ObjectKind::kBackendServer, "a");
  const Candidate candidate = decide(base, view, kNow);
  cr_assert(candidate.objects == base.objects);
  cr_assert(mentions(rejection_of(candidate, ObjectKind::kBackendServer, "a"),
                     "shard/low: spec.replicas names backend_server/a, which "
                     "does not exist"));
}

Test(candidate, takes_a_tombstone_for_a_deletion_by_its_operator) {
  const ReleaseContents base = sample_base();
  ObjectView view = view_of(base);
  write(view,
        "{'kind':'snapshot','name':'v1','deleted':true,'meta':"
        "{'change_id':'c9','operator':'ana','at_ms':5}}");
  const Candidate candidate = decide(base, view, kNow);
  cr_assert(candidate.changes.size() == 1);
  const Change& change = candidate.changes.front();
  cr_assert(change.who == "ana" && change.when_ms == 5);
  cr_assert(change.from_version == 7 && change.to_version == 0);
  cr_assert(change.sequence == 8 && change.generation == 2);
}

Test(candidate, accepts_the_rest_when_one_is_invalid) {
  const ReleaseContents base = sample_base();
  ObjectView view = view_of(base);
  write(view,
        "{'kind':'shard','name':'lost','spec':{'service':'none',"
        "'replicas':['a']}}");
  write(view, kOtherSnapshot);
  const Candidate candidate = decide(base, view, kNow);
  cr_assert(candidate.changes.size() == 1);
  cr_assert(mentions(rejection_of(candidate, ObjectKind::kShard, "lost"),
                     "shard/lost: spec.service names query_service/none"));
}

Test(candidate, says_why_a_malformed_object_is_out_and_says_it_once) {
  ReleaseContents base = sample_base();
  ObjectView view = view_of(base);
  view.objects.insert_or_assign(
      ObjectKey{ObjectKind::kShard, "low"},
      ObservedObject{++view.version,
                     fail(ErrorKind::kInvalidRequest, "broken")});
  const Candidate candidate = decide(base, view, kNow);
  cr_assert(candidate.differs);
  cr_assert(
      mentions(rejection_of(candidate, ObjectKind::kShard, "low"), "broken"));
  base.rejections = candidate.rejections;
  base.head.generation = 2;
  cr_assert(!decide(base, view, kNow).differs);
}

// Failure: an object that was removed is in force again.
Test(object_mirror, ignores_events_that_come_late) {
  ObjectMirror mirror;
  mirror.reset({4, {{"objects", "shard:s", 3, "{}"}}});
  mirror.apply({5, {{{"objects", "shard:s", 5, ""}, true}}, false});
  cr_assert(mirror.view().objects.empty());
  mirror.apply({6, {{{"objects", "shard:s", 3, "{}"}, false}}, false});
  cr_assert(mirror.view().objects.empty() && mirror.view().version == 6);
  mirror.reset({2, {{"objects", "shard:s", 1, "{}"}}});
  cr_assert(mirror.view().objects.empty());
}

}  // namespace
}  // namespace ibismux::release
