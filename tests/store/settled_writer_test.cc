#include "ibismux/store/settled_writer.h"

#include <boost/asio/io_context.hpp>

#include "tests/support/memory_object_store.h"
#include "tests/support/run_task.h"

#include <criterion/criterion.h>

namespace ibismux::store {
namespace {

using testing::MemoryObjectStore;
using testing::run_task;
using Step = WriteSettlement::Step;
using Trace = WriteSettlement::Trace;

tl::unexpected<Error> error(ErrorKind kind, Execution execution) {
  return tl::unexpected(Error{kind, "", execution});
}

Result<Version> lost() {
  return error(ErrorKind::kPlatformUnavailable, Execution::kUnknown);
}

Result<Version> conflict() {
  return error(ErrorKind::kConflict, Execution::kNotRun);
}

/// Each writer leaves its own letter in the value, and all letters stay.
SettledWriter::FindTrace has(char letter) {
  return [letter](const StoredObject& object) {
    return object.value.find(letter) == std::string::npos ? Trace::kAbsent
                                                          : Trace::kPresent;
  };
}

Result<Version> write_b(MemoryObjectStore& store,
                        Version expected,
                        Duration limit = std::chrono::seconds(60)) {
  SettledWriter writer(store);
  return run_task(
      writer.put("c", "n", "ab", expected, has('b'), Clock::now() + limit));
}

void rival_appends(MemoryObjectStore& store) {
  store.before_next_write([&store] {
    store.force_put("c", "n", store.peek("c", "n").value + "r");
  });
}

/// The read after the first write fails; a rival writes on top of it; then
/// reads work again.
void rival_appends_before_second_write(MemoryObjectStore& store) {
  store.set_reads_failing(true);
  store.before_next_write([&store] {
    store.before_next_write([&store] {
      store.force_put("c", "n", store.peek("c", "n").value + "r");
      store.set_reads_failing(false);
    });
  });
}

Test(write_settlement, a_refusal_without_doubt_ends_it) {
  WriteSettlement settlement(1);
  cr_assert(settlement.after_write(conflict()) == Step::kDone);
  cr_assert(settlement.result().error().kind == ErrorKind::kConflict);
}

// Failure: a change is reported as refused and is in force nevertheless.
Test(write_settlement, the_old_version_read_back_settles_nothing) {
  WriteSettlement settlement(1);
  cr_assert(settlement.after_write(lost()) == Step::kReadBack);
  cr_assert(settlement.after_read(Version{1}, Trace::kAbsent) ==
            Step::kWriteAgain);
  cr_assert(settlement.after_write(conflict()) == Step::kReadBack);
  cr_assert(settlement.after_read(Version{2}, Trace::kPresent) == Step::kDone);
  cr_assert(settlement.result().value() == 2);
}

Test(write_settlement, a_moved_version_without_a_trace_is_a_conflict) {
  WriteSettlement settlement(1);
  cr_assert(settlement.after_write(lost()) == Step::kReadBack);
  cr_assert(settlement.after_read(Version{5}, Trace::kAbsent) == Step::kDone);
  cr_assert(settlement.result().error().execution == Execution::kNotRun);
}

Test(write_settlement, an_erased_trace_leaves_the_outcome_unknown) {
  WriteSettlement settlement(1);
  cr_assert(settlement.after_write(lost()) == Step::kReadBack);
  cr_assert(settlement.after_read(Version{5}, Trace::kErased) == Step::kDone);
  cr_assert(settlement.result().error().kind == ErrorKind::kOutcomeUnknown);
}

Test(write_settlement, after_a_lost_answer_an_outage_is_no_refusal) {
  WriteSettlement settlement(1);
  cr_assert(settlement.after_write(lost()) == Step::kReadBack);
  cr_assert(settlement.after_read(lost(), Trace::kErased) == Step::kWriteAgain);
  cr_assert(settlement.after_write(
                error(ErrorKind::kPlatformUnavailable, Execution::kNotRun)) ==
            Step::kReadBack);
  cr_assert(settlement.unsettled().execution == Execution::kUnknown);
}

Test(settled_writer, a_lost_answer_is_found_to_have_taken_effect) {
  MemoryObjectStore store;
  const Version first = store.force_put("c", "n", "a");
  store.lose_answers(1);
  cr_assert(write_b(store, first).value() == first + 1);
  cr_assert(store.version() == first + 1);
}

Test(settled_writer, a_lost_answer_is_found_below_a_rivals_write) {
  MemoryObjectStore store;
  const Version first = store.force_put("c", "n", "a");
  store.lose_answers(1);
  rival_appends_before_second_write(store);
  cr_assert(write_b(store, first).value() == first + 2);
  cr_assert(store.peek("c", "n").value == "abr");
}

Test(settled_writer, a_lost_request_is_sent_again) {
  MemoryObjectStore store;
  const Version first = store.force_put("c", "n", "a");
  store.lose_requests(2);
  cr_assert(write_b(store, first).value() == first + 1);
  cr_assert(store.peek("c", "n").value == "ab");
}

Test(settled_writer, a_lost_request_that_a_rival_overtook_was_not_run) {
  MemoryObjectStore store;
  const Version first = store.force_put("c", "n", "a");
  store.lose_requests(1);
  rival_appends(store);
  const auto result = write_b(store, first);
  cr_assert(result.error().kind == ErrorKind::kConflict);
  cr_assert(result.error().execution == Execution::kNotRun);
}

Test(settled_writer, with_no_time_left_the_outcome_is_unknown) {
  MemoryObjectStore store;
  const Version first = store.force_put("c", "n", "a");
  store.lose_answers(1);
  const auto result = write_b(store, first, Duration::zero());
  cr_assert(result.error().kind == ErrorKind::kOutcomeUnknown);
  cr_assert(store.peek("c", "n").value == "ab");
}

}  // namespace
}  // namespace ibismux::store
