#include "ibismux/operator/object_writer.h"

#include <string>

#include "tests/operator/run_task.h"
#include "tests/support/memory_object_store.h"

#include <criterion/criterion.h>

namespace ibismux::operators {
namespace {

using ibismux::testing::MemoryObjectStore;
using testing::run;

constexpr const char* kName = "limit_policy:l";

release::ObjectRecord limit(std::uint32_t concurrency,
                            const std::string& change_id) {
  release::LimitPolicy policy;
  policy.name = "l";
  policy.concurrency = concurrency;
  release::ObjectRecord record{.key = {release::ObjectKind::kLimitPolicy, "l"},
                               .spec = policy};
  record.change_id = change_id;
  record.who = "ana";
  return record;
}

release::ObjectRecord tombstone(const std::string& change_id) {
  release::ObjectRecord record = limit(0, change_id);
  record.deleted = true;
  return record;
}

WriteCondition version(store::Version value) {
  return {WriteCondition::Kind::kVersion, value};
}

struct Fixture {
  ObjectWriter::Outcome write(release::ObjectRecord record,
                              WriteCondition condition = {}) {
    return run(this->writer.write(std::move(record), condition));
  }

  std::string stored_id() {
    const auto record =
        release::parse_object(this->store.peek("objects", kName).value);
    return record ? record->change_id : "";
  }

  MemoryObjectStore store;
  ObjectWriter writer{store, std::chrono::seconds(1)};
};

Test(object_writer, creates_then_replaces) {
  Fixture test;
  const auto first = test.write(limit(1, "c1"));
  cr_assert(first && first->created && first->version == 1);
  const auto second = test.write(limit(2, "c2"), version(1));
  cr_assert(second && !second->created && second->version == 2);
}

Test(object_writer, writes_nothing_where_nothing_changes) {
  Fixture test;
  const auto first = test.write(limit(1, "c1"));
  const auto again = test.write(limit(1, "c2"));
  cr_assert(again && again->unchanged && again->version == first->version);
  cr_assert(again->change_id == "c1" && test.store.writes() == 1);
}

// Failure: one operator's change overwrites another's that he never saw.
Test(object_writer, tells_the_loser_of_a_race_the_current_version) {
  Fixture test;
  (void)test.write(limit(1, "c1"));
  (void)test.write(limit(2, "c2"), version(1));
  const auto late = test.write(limit(3, "c3"), version(1));
  cr_assert(!late && late.error().error.kind == ErrorKind::kConflict);
  cr_assert(late.error().current == 2U);
  cr_assert(test.stored_id() == "c2");
}

void rival_writes_next(Fixture& test) {
  test.store.before_next_write(
      [&test] { (void)test.write(limit(9, "rival")); });
}

Test(object_writer, gives_a_conflict_to_one_who_loses_between_read_and_write) {
  Fixture test;
  (void)test.write(limit(1, "c1"));
  rival_writes_next(test);
  const auto late = test.write(limit(3, "c3"), version(1));
  cr_assert(!late && late.error().error.kind == ErrorKind::kConflict);
  cr_assert(late.error().current == 2U && test.stored_id() == "rival");
}

Test(object_writer, tries_again_where_no_condition_was_given) {
  Fixture test;
  (void)test.write(limit(1, "c1"));
  rival_writes_next(test);
  const auto outcome = test.write(limit(3, "c3"));
  cr_assert(outcome && outcome->version == 3 && test.stored_id() == "c3");
}

// Failure: a change whose answer was lost is made and logged twice.
Test(object_writer, finds_its_change_after_a_lost_answer) {
  Fixture test;
  test.store.lose_answers(1);
  const auto outcome = test.write(limit(1, "c1"));
  cr_assert(outcome && outcome->version == 1);
}

Test(object_writer, does_not_claim_a_write_whose_request_was_lost) {
  Fixture test;
  test.store.lose_requests(1);
  const auto outcome = test.write(limit(1, "c1"));
  cr_assert(!outcome);
  cr_assert(outcome.error().error.execution == Execution::kUnknown);
  const auto again = test.write(limit(1, "c1"));
  cr_assert(again && again->version == 1);
}

Test(object_writer, takes_the_same_change_id_for_the_same_change) {
  Fixture test;
  (void)test.write(limit(1, "c1"));
  const auto again =
      test.write(limit(1, "c1"), {WriteCondition::Kind::kAbsent, 0});
  cr_assert(again && again->version == 1 && test.store.writes() == 1);
}

Test(object_writer, deletes_by_a_tombstone_and_creates_over_it) {
  Fixture test;
  cr_assert(!test.write(tombstone("c0")));
  (void)test.write(limit(1, "c1"));
  const auto deleted = test.write(tombstone("c2"), version(1));
  cr_assert(deleted && deleted->version == 2);
  const auto again = test.write(tombstone("c3"));
  cr_assert(!again && again.error().error.kind == ErrorKind::kNotFound);
  const auto created =
      test.write(limit(1, "c4"), {WriteCondition::Kind::kAbsent, 0});
  cr_assert(created && created->created && created->version == 3);
}

Test(object_writer, says_not_run_in_an_outage) {
  Fixture test;
  test.store.set_outage(true);
  const auto outcome = test.write(limit(1, "c1"));
  cr_assert(!outcome);
  cr_assert(outcome.error().error.kind == ErrorKind::kPlatformUnavailable);
  cr_assert(outcome.error().error.execution == Execution::kNotRun);
}

}  // namespace
}  // namespace ibismux::operators
