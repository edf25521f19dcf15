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

/// Two daemons' tables that are written to one store.
struct Daemons {
  Daemons() {
    for (std::size_t i = 0; i < 2; ++i) {
      std::make_shared<QuarantineWriter>(this->loop, this->store, kCollection,
                                         this->tables[i], this->log, i)
          ->start();
    }
  }

  bool run_until(const std::function<bool()>& reached) {
    return ibismux::testing::run_until(this->loop, reached);
  }

  /// Waits until the store holds all that a daemon has learned.
  bool all_written(std::size_t table) {
    return this->run_until(
        [this, table] { return this->tables[table].changes().empty(); });
  }

  /// What the store holds of the request.
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

// Guards against daemons that each see too little to hold a request.
Test(quarantine_writer, what_two_daemons_saw_adds_up) {
  Daemons daemons;
  daemons.crash(0, "a");
  daemons.crash(0, "b");
  daemons.crash(1, "c");
  cr_assert(daemons.run_until([&] {
    return daemons.stored().standing(daemons.now) == Standing::kQuarantined;
  }));
}

// Guards against a quarantine that is lost with the answer to its write.
Test(quarantine_writer, a_lost_answer_is_settled) {
  Daemons daemons;
  daemons.store.lose_answers(1);
  daemons.crash(0, "a");
  cr_assert(daemons.all_written(0));
  cr_assert(daemons.stored().leaf_runs == std::vector<std::string>{"a"});
}

Test(quarantine_writer, an_answer_before_the_write_spares_it) {
  Daemons daemons;
  daemons.crash(0, "a");
  daemons.tables[0].on_answer(daemons.digest);
  daemons.crash(1, "b");
  cr_assert(daemons.all_written(1));
  cr_assert(daemons.stored().leaf_runs == std::vector<std::string>{"b"});
}

Test(quarantine_writer, a_cleared_request_is_removed) {
  Daemons daemons;
  daemons.crash(0, "a");
  cr_assert(daemons.all_written(0));
  daemons.tables[0].on_answer(daemons.digest);
  cr_assert(daemons.run_until([&] { return daemons.tables[0].size() == 0; }));
  cr_assert(daemons.stored().leaf_runs.empty());
}

// Guards against a write for each request whose leaf ended and another answers.
Test(quarantine_writer, requests_that_are_soon_cleared_are_not_written) {
  Daemons daemons;
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
