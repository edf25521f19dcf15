#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "tests/support/memory_object_store.h"
#include "tests/support/run_until.h"

#include "ibismux/checkpoint/checkpoint_writer.h"

#include <criterion/criterion.h>

#include "ibismux/eventlog/event_log.h"

namespace ibismux::checkpoint {
namespace {

using ibismux::testing::MemoryObjectStore;

constexpr const char* kCollection = "checkpoints";

/// One daemon that has run for a while.
struct Daemon {
  Daemon(boost::asio::io_context& loop, MemoryObjectStore& store)
      : log(loop, {.descriptor = -1}) {
    std::make_shared<CheckpointWriter>(
        loop, store, kCollection,
        CheckpointWriter::Sources{[this] { return this->state; },
                                  [this] { return this->revision; },
                                  [this] {
                                    ++this->asked;
                                    return this->checkpoint;
                                  }},
        this->log, Clock::now() - std::chrono::hours(1))
        ->start();
  }

  void know(const std::string& id) {
    directory::LeafEntry entry;
    entry.run.id = id;
    entry.service = "s1";
    entry.address = "10.0.0.1";
    entry.port = 1;
    this->checkpoint.leafs.push_back(entry);
    ++this->revision;
  }

  CheckpointSchedule::State state{.is_writer = true, .is_complete = true};
  std::uint64_t revision = 0;
  LeafCheckpoint checkpoint;
  int asked = 0;  ///< For its leafs.
  eventlog::EventLog log;
};

struct Fixture {
  bool run_until(const std::function<bool()>& reached) {
    return ibismux::testing::run_until(this->loop, reached);
  }

  std::size_t stored_leafs() {
    std::optional<std::size_t> leafs;
    boost::asio::co_spawn(
        this->loop, this->store.get(kCollection, kCheckpointName, Clock::now()),
        [&](const std::exception_ptr&, Result<store::StoredObject> object) {
          leafs =
              object ? decode_leaf_checkpoint(object->value)->leafs.size() : 0;
        });
    this->run_until([&] { return leafs.has_value(); });
    return *leafs;
  }

  boost::asio::io_context loop;
  MemoryObjectStore store;
  Daemon daemon{this->loop, this->store};
};

Test(checkpoint_writer, the_next_writer_keeps_what_is_stored_already) {
  Fixture fixture;
  fixture.daemon.know("a");
  cr_assert(fixture.run_until([&] { return fixture.stored_leafs() == 1; }));
  const std::size_t before = fixture.store.writes();
  Daemon next(fixture.loop, fixture.store);
  next.know("a");
  cr_assert(fixture.run_until([&] { return next.asked > 0; }));
  cr_assert(fixture.store.writes() == before);
}

// Guards against a checkpoint that is never written again once the answer to a
// write was lost.
Test(checkpoint_writer, a_write_whose_answer_is_lost_is_resolved) {
  Fixture fixture;
  fixture.store.lose_answers(1);
  fixture.daemon.know("a");
  cr_assert(fixture.run_until([&] { return fixture.stored_leafs() == 1; }));
  fixture.daemon.know("b");
  cr_assert(fixture.run_until([&] { return fixture.stored_leafs() == 2; }));
}

// Guards against replacing the last good state by an empty one, or by one that
// the store refuses.
Test(checkpoint_writer, neither_no_leafs_nor_too_many_are_written) {
  Fixture fixture;
  const std::size_t before = fixture.store.writes();
  ++fixture.daemon.revision;
  cr_assert(fixture.run_until([&] { return fixture.daemon.asked == 1; }));
  fixture.daemon.know(std::string(CheckpointWriter::kMaxBytes, 'x'));
  cr_assert(fixture.run_until([&] { return fixture.daemon.asked == 2; }));
  cr_assert(fixture.store.writes() == before);
}

}  // namespace
}  // namespace ibismux::checkpoint
