#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/release/publication_fleet.h"

#include <criterion/criterion.h>

namespace ibismux::release {
namespace {

using testing::MemoryObjectStore;
using testing::operator_writes;
using testing::PublicationInvariants;
using testing::SteppedPublisher;

constexpr const char* kTwinServers[] = {
    "{'kind':'backend_server','name':'x','spec':{'address':'10.0.9.9',"
    "'port':80,'zone':'z'}}",
    "{'kind':'backend_server','name':'y','spec':{'address':'10.0.9.9',"
    "'port':80,'zone':'z'}}"};
constexpr const char* kNewLimit =
    "{'kind':'limit_policy','name':'l1','spec':{'concurrency':3}}";

struct Fixture {
  Fixture() : invariants(this->store) {
    for (const char* json : testing::kAllSamples) {
      operator_writes(this->store, json);
    }
  }

  void check() {
    const std::string broken = this->invariants.check();
    cr_assert(broken.empty(), "%s", broken.c_str());
  }

  /// Steps `publisher` to its end, and checks at each step.
  void finish(SteppedPublisher& publisher) {
    publisher.begin();
    while (publisher.step()) {
      this->check();
    }
    cr_assert(!publisher.busy);
  }

  [[nodiscard]] bool accepted(ObjectKind kind, const std::string& name) const {
    return this->invariants.contents()->objects.contains({kind, name});
  }
  [[nodiscard]] bool rejected(ObjectKind kind, const std::string& name) const {
    return this->invariants.contents()->rejections.contains({kind, name});
  }

  MemoryObjectStore store;
  PublicationInvariants invariants;
};

Test(publication, puts_what_operators_wrote_in_force) {
  Fixture test;
  SteppedPublisher one(test.store, "one");
  test.finish(one);
  cr_assert(!one.failed && one.releases.generation() == 1);
  cr_assert(test.invariants.contents()->objects.size() == 7);
  cr_assert(test.invariants.audit_is_complete());
}

Test(publication, makes_no_write_where_nothing_changed) {
  Fixture test;
  SteppedPublisher one(test.store, "one");
  test.finish(one);
  const std::size_t writes = test.store.writes();
  test.finish(one);
  cr_assert(test.store.writes() == writes);
}

Test(publication, writes_one_chunk_the_head_and_the_trail_for_one_change) {
  Fixture test;
  SteppedPublisher one(test.store, "one");
  test.finish(one);
  operator_writes(test.store, kNewLimit);
  const std::size_t writes = test.store.writes();
  test.finish(one);
  cr_assert(test.store.writes() == writes + 3);
}

/// The layout that gives the seven sample objects index chunks.
constexpr ReleaseLayout kTwoLevels{.objects_per_chunk = 1,
                                   .fewest_chunks = 16,
                                   .most_direct_chunks = 8};

Test(publication, writes_one_index_chunk_more_at_a_large_site) {
  Fixture test;
  SteppedPublisher one(test.store, "one", kTwoLevels);
  test.finish(one);
  operator_writes(test.store, kNewLimit);
  const std::size_t writes = test.store.writes();
  test.finish(one);
  cr_assert(test.store.writes() == writes + 4);
}

// Failure: the platform fills up with index chunks.
Test(publication, keeps_no_more_than_the_grace_of_old_index_chunks) {
  Fixture test;
  const std::string left = "index-1-00000000000000000000000000000000";
  test.store.force_put("releases", left, "left behind");
  SteppedPublisher one(test.store, "one", kTwoLevels);
  std::set<std::string> ever;
  for (int concurrency = 10; concurrency < 16; ++concurrency) {
    operator_writes(
        test.store,
        "{'kind':'limit_policy','name':'l1','spec':{'concurrency':" +
            std::to_string(concurrency) + "}}");
    test.finish(one);
    for (const ChunkRef& ref : test.invariants.contents()->head.indexes) {
      ever.insert(index_name(ref));
    }
  }
  cr_assert(test.store.peek("releases", left).version == 0);
  cr_assert(ever.size() == 4 + 5);
  std::size_t kept = 0;
  for (const std::string& name : ever) {
    kept += test.store.peek("releases", name).version == 0 ? 0 : 1;
  }
  cr_assert(kept == 4 + 1);  // The grace is of one generation.
}

// Failure: two backend servers of one address are in force, or neither.
Test(publication, accepts_exactly_one_of_two_that_race) {
  for (int rival_step = 0; rival_step < 24; ++rival_step) {
    Fixture test;
    SteppedPublisher one(test.store, "one");
    SteppedPublisher two(test.store, "two");
    operator_writes(test.store, kTwinServers[0]);
    one.begin();
    for (int i = 0; i < rival_step; ++i) {
      one.step();
      test.check();
    }
    operator_writes(test.store, kTwinServers[1]);
    test.finish(two);
    test.finish(one);
    test.finish(one);
    cr_assert(!one.failed && !two.failed);
    cr_assert(test.accepted(ObjectKind::kBackendServer, "x"));
    cr_assert(test.rejected(ObjectKind::kBackendServer, "y"));
    cr_assert(!test.accepted(ObjectKind::kBackendServer, "y"));
    cr_assert(test.invariants.audit_is_complete());
  }
}

// Failure: a change is published twice, or is missing from the audit trail.
Test(publication, settles_a_lost_answer_at_each_step) {
  for (std::size_t write = 0; write < 16; ++write) {
    for (const bool takes_effect : {true, false}) {
      Fixture test;
      SteppedPublisher one(test.store, "one");
      one.begin();
      while (test.store.writes() < write && one.step()) {
      }
      takes_effect ? test.store.lose_answers(1) : test.store.lose_requests(1);
      test.finish(one);
      test.finish(one);
      cr_assert(!one.failed);
      cr_assert(test.invariants.contents()->objects.size() == 7);
      cr_assert(test.invariants.contents()->head.change_count == 7);
      cr_assert(one.releases.generation() == 1);
      cr_assert(test.invariants.audit_is_complete());
    }
  }
}

// Failure: a change lacks its audit record or is never in force.
Test(publication, is_gone_on_with_when_a_publisher_is_killed_at_any_step) {
  for (int killed_at = 0; killed_at < 64; ++killed_at) {
    Fixture test;
    SteppedPublisher one(test.store, "one");
    SteppedPublisher two(test.store, "two");
    one.begin();
    for (int i = 0; i < killed_at; ++i) {
      one.step();
      test.check();
    }
    const store::Version written = operator_writes(test.store, kNewLimit);
    test.finish(two);
    cr_assert(!two.failed);
    cr_assert(test.invariants.contents()
                  ->objects.at({ObjectKind::kLimitPolicy, "l1"})
                  .version == written);
    cr_assert(test.invariants.audit_is_complete());
  }
}

// Failure: a publisher that wakes brings an old configuration back.
Test(publication, is_not_undone_by_a_publisher_that_was_stopped) {
  for (int stopped_at = 0; stopped_at < 40; ++stopped_at) {
    Fixture test;
    SteppedPublisher one(test.store, "one");
    SteppedPublisher two(test.store, "two");
    one.begin();
    for (int i = 0; i < stopped_at; ++i) {
      one.step();
    }
    for (int concurrency = 10; concurrency < 16; ++concurrency) {
      const std::string spec =
          "','spec':{'concurrency':" + std::to_string(concurrency) + "}}";
      operator_writes(test.store, "{'kind':'limit_policy','name':'l1" + spec);
      operator_writes(test.store, "{'kind':'limit_policy','name':'new-" +
                                      std::to_string(concurrency) + spec);
      test.finish(two);
    }
    const store::Version newest =
        test.invariants.contents()
            ->objects.at({ObjectKind::kLimitPolicy, "l1"})
            .version;
    test.finish(one);
    test.finish(one);
    cr_assert(!one.failed);
    cr_assert(test.invariants.contents()->objects.size() == 13);
    cr_assert(test.invariants.contents()
                  ->objects.at({ObjectKind::kLimitPolicy, "l1"})
                  .version == newest);
    cr_assert(test.invariants.audit_is_complete());
  }
}

Test(publication, removes_a_tombstone_once_its_deletion_is_in_force) {
  Fixture test;
  SteppedPublisher one(test.store, "one");
  test.finish(one);
  operator_writes(test.store,
                  "{'kind':'backend_server','name':'a','deleted':true}");
  test.finish(one);
  cr_assert(test.rejected(ObjectKind::kBackendServer, "a"));
  cr_assert(test.store.peek("objects", "backend_server:a").version > 0);
  operator_writes(test.store,
                  "{'kind':'shard','name':'low','spec':{'service':'bays',"
                  "'begin':0,'end':100,'replicas':['b']}}");
  test.finish(one);
  cr_assert(!test.accepted(ObjectKind::kBackendServer, "a"));
  cr_assert(!test.rejected(ObjectKind::kBackendServer, "a"));
  cr_assert(test.store.peek("objects", "backend_server:a").version == 0);
}

Test(publication, removes_chunks_that_a_killed_publisher_left_behind) {
  Fixture test;
  test.store.force_put("releases", "chunk-1-00000000000000000000000000000000",
                       "left behind");
  SteppedPublisher one(test.store, "one");
  for (int concurrency = 10; concurrency < 13; ++concurrency) {
    operator_writes(
        test.store,
        "{'kind':'limit_policy','name':'l1','spec':{'concurrency':" +
            std::to_string(concurrency) + "}}");
    test.finish(one);
  }
  cr_assert(
      test.store.peek("releases", "chunk-1-00000000000000000000000000000000")
          .version == 0);
}

// Failure: changes are in force that the audit trail never shows.
Test(publication, keeps_changes_in_the_head_until_they_are_recorded) {
  Fixture test;
  std::vector<std::unique_ptr<SteppedPublisher>> killed;
  for (int round = 1; round <= 4; ++round) {
    for (int i = 0; i < 50; ++i) {
      operator_writes(test.store,
                      "{'kind':'limit_policy','name':'n" + std::to_string(i) +
                          "','spec':{'concurrency':" + std::to_string(round) +
                          "}}");
    }
    killed.push_back(std::make_unique<SteppedPublisher>(
        test.store, "p" + std::to_string(round)));
    killed.back()->begin();
    while (test.invariants.contents()->head.generation !=
               static_cast<Generation>(round) &&
           killed.back()->step()) {
      test.check();
    }
  }
  SteppedPublisher last(test.store, "last");
  test.finish(last);
  cr_assert(test.invariants.contents()->head.change_count == 207);
  cr_assert(test.invariants.audit_is_complete());
}

Test(publication, takes_many_objects_in_several_releases) {
  Fixture test;
  for (std::size_t i = 0; i < 2 * kMostChangesAtOnce; ++i) {
    operator_writes(
        test.store,
        "{'kind':'backend_server','name':'leaf-" + std::to_string(i) +
            "','spec':{'address':'10.1." + std::to_string(i / 250) + "." +
            std::to_string(1 + i % 250) + "','port':80,'zone':'z'}}");
  }
  SteppedPublisher one(test.store, "one");
  test.finish(one);
  cr_assert(test.invariants.contents()->objects.size() ==
            7 + 2 * kMostChangesAtOnce);
  cr_assert(test.invariants.contents()->head.generation == 3);
  cr_assert(test.invariants.contents()->rejections.empty());
  cr_assert(test.invariants.audit_is_complete());
}

}  // namespace
}  // namespace ibismux::release
