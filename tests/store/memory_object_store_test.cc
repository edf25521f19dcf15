#include "tests/support/memory_object_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "tests/support/run_task.h"

#include <criterion/criterion.h>

namespace ibismux {
namespace {

using store::Version;
using store::WatchBatch;
using testing::MemoryObjectStore;
using testing::run_task;

Result<Version> put(MemoryObjectStore& store,
                    std::string value,
                    Version expected) {
  return run_task(store.put("c", "n", std::move(value), expected, {}));
}

/// A watch that waits while another writes.
WatchBatch watch_during_write(MemoryObjectStore& store) {
  boost::asio::io_context loop;
  WatchBatch batch;
  boost::asio::co_spawn(
      loop, store.watch("c", store.version(), std::chrono::hours(1)),
      [&](std::exception_ptr, Result<WatchBatch> result) { batch = *result; });
  boost::asio::post(loop, [&] { store.force_put("other", "n", "x"); });
  boost::asio::post(loop, [&] { store.force_put("c", "n", "x"); });
  loop.run();
  return batch;
}

Test(memory_object_store, a_write_needs_the_current_version) {
  MemoryObjectStore store;
  cr_assert(put(store, "a", 0).value() == 1);
  cr_assert(put(store, "b", 0).error().kind == ErrorKind::kConflict);
  cr_assert(put(store, "b", 1).value() == 2);
  cr_assert(run_task(store.remove("c", "n", 1, {})).error().kind ==
            ErrorKind::kConflict);
  cr_assert(run_task(store.remove("c", "n", 2, {})).has_value());
  cr_assert(run_task(store.get("c", "n", {})).error().kind ==
            ErrorKind::kNotFound);
}

Test(memory_object_store, a_lost_answer_has_taken_effect_a_lost_request_not) {
  MemoryObjectStore store;
  store.lose_answers(1);
  cr_assert(put(store, "a", 0).error().execution == Execution::kUnknown);
  cr_assert(store.peek("c", "n").value == "a");
  store.lose_requests(1);
  cr_assert(put(store, "b", 1).error().execution == Execution::kUnknown);
  cr_assert(store.peek("c", "n").value == "a");
}

Test(memory_object_store, a_waiting_watch_hears_of_its_collection_only) {
  MemoryObjectStore store;
  const auto batch = watch_during_write(store);
  cr_assert(batch.events.size() == 1);
  cr_assert(batch.version == 2);
}

Test(memory_object_store, a_compacted_history_says_so) {
  MemoryObjectStore store;
  store.force_put("c", "n", "x");
  store.compact();
  cr_assert(run_task(store.watch("c", 0, {})).value().compacted);
  cr_assert(!run_task(store.watch("c", 1, {})).value().compacted);
}

}  // namespace
}  // namespace ibismux
