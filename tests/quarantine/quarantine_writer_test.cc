#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "tests/support/memory_object_store.h"
#include "tests/support/run_until.h"

#include "ibismux/quarantine/quarantine_writer.h"

#include <criterion/criterion.h>

#include "ibismux/eventlog/event_log.h"

namespace ibismux::quarantine {
namespace {

using ibismux::testing::MemoryObjectStore;

constexpr const char* kCollection = "held";
constexpr std::chrono::seconds kLimit{20};

/// The tables of two daemons, written to one store.
struct TwoDaemons {
  TwoDaemons() {
    for (std::size_t i = 0; i < 2; ++i) {
      std::make_shared<QuarantineWriter>(this->loop, this->store, kCollection,
                                         this->tables[i], this->log, i)
          ->start();
    }
  }

  bool run_until(const std::function<bool()>& reached) {
    return ibismux::testing::run_until(this->loop, reached);
  }

  /// Waits until all changes of a daemon are in the store.
  bool all_written(std::size_t table) {
    return this->run_until(
        [this, table] { return this->tables[table].changes().empty(); });
  }

  /// The record of the request in the store; empty if there is none.
  QuarantineRecord stored() {
    std::optional<QuarantineRecord> record;
    boost::asio::co_spawn(
        this->loop,
        this->store.get(kCollection, this->digest.text(),
                        Clock::now() + kLimit),
        [&](const std::exception_ptr&, Result<store::StoredObject> object) {
          record = object ? decode_quarantine_record(object->value)
                                .value_or(QuarantineRecord{})
                          : QuarantineRecord{};
        });
    this->run_until([&] { return record.has_value(); });
    return *record;
  }

  void crash(std::size_t table, const std::string& leaf_run) {
    this->tables[table].on_crash(this->digest, leaf_run, this->now);
  }

  const UnixTime now = unix_now();
  const RequestDigest digest{{"GET", "a.example", "/bad", ""}};
  boost::asio::io_context loop;
  MemoryObjectStore store;
  eventlog::EventLog log{this->loop, {.descriptor = -1}};
  std::array<QuarantineTable, 2> tables;
};

// Guards against a request that is never quarantined because each daemon alone
// has seen too few leafs end.
Test(quarantine_writer, evidence_of_two_daemons_adds_up) {
  TwoDaemons daemons;
  daemons.crash(0, "a");
  daemons.crash(0, "b");
  daemons.crash(1, "c");
  cr_assert(daemons.run_until([&] {
    return daemons.stored().state(daemons.now) == QuarantineState::kQuarantined;
  }));
}

// Guards against losing a quarantine when the answer to its write is lost.
Test(quarantine_writer, a_write_whose_answer_is_lost_is_resolved) {
  TwoDaemons daemons;
  daemons.store.lose_answers(1);
  daemons.crash(0, "a");
  cr_assert(daemons.all_written(0));
  cr_assert(daemons.stored().leaf_runs == std::vector<std::string>{"a"});
}

Test(quarantine_writer, an_answer_before_the_write_cancels_it) {
  TwoDaemons daemons;
  daemons.crash(0, "a");
  daemons.tables[0].on_answer(daemons.digest);
  daemons.crash(1, "b");
  cr_assert(daemons.all_written(1));
  cr_assert(daemons.stored().leaf_runs == std::vector<std::string>{"b"});
}

Test(quarantine_writer, a_cleared_request_is_removed) {
  TwoDaemons daemons;
  daemons.crash(0, "a");
  cr_assert(daemons.all_written(0));
  daemons.tables[0].on_answer(daemons.digest);
  cr_assert(daemons.run_until([&] { return daemons.tables[0].size() == 0; }));
  cr_assert(daemons.stored().leaf_runs.empty());
}

// Guards against a write for each request that another leaf answers soon after
// one has ended.
Test(quarantine_writer, requests_that_are_soon_cleared_are_not_written) {
  TwoDaemons daemons;
  const std::size_t before = daemons.store.writes();
  for (int i = 0; i < 50; ++i) {
    const RequestDigest other({"GET", "a.example", std::to_string(i), ""});
    daemons.tables[0].on_crash(other, "a", daemons.now);
    daemons.loop.restart();
    daemons.loop.run_one_for(std::chrono::milliseconds(1));
  }
  for (int i = 0; i < 50; ++i) {
    daemons.tables[0].on_answer(
        RequestDigest({"GET", "a.example", std::to_string(i), ""}));
  }
  daemons.crash(1, "b");
  cr_assert(daemons.all_written(1));
  cr_assert(daemons.store.writes() == before + 1);
}

}  // namespace
}  // namespace ibismux::quarantine
