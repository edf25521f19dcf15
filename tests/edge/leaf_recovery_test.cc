#include <boost/asio/io_context.hpp>

#include "tests/support/memory_object_store.h"
#include "tests/support/run_until.h"

#include "ibismux/edge/leaf_recovery.h"

#include <criterion/criterion.h>
#include <prometheus/registry.h>

#include "ibismux/checkpoint/checkpoint_writer.h"
#include "ibismux/eventlog/event_log.h"
#include "ibismux/startup/start_gate.h"

namespace ibismux::edge {
namespace {

using std::chrono::milliseconds;

struct Listener : directory::DirectoryListener {
  void on_leaf_updated(const directory::LeafEntry&) override {}
  void on_leaf_removed(const std::string&, std::string_view) override {}
};

/// For a feed that gets no listings.
struct NoEntries : LeafEntryDecoder {
  tl::expected<directory::LeafEntry, directory::RefusedEntry> decode(
      const store::StoredObject&) const override {
    return tl::unexpected(directory::RefusedEntry{});
  }
};

directory::LeafEntry leaf(const std::string& id, const std::string& service) {
  directory::LeafEntry entry;
  entry.run.id = id;
  entry.service = service;
  entry.address = "10.0.0.1";
  entry.port = 1;
  return entry;
}

/// Routes to the services "s1" and "s2".
routing::RouteTable two_services() {
  routing::Route route;
  route.name = "query";
  route.host = "search.example";
  route.path_prefix = "/query/";
  route.shards = {"s1", "s2"};
  return {1, {route}, {}, {}};
}

/// A daemon whose store holds a checkpoint of leafs of two services.
struct Fixture {
  explicit Fixture(Duration running_for = Duration::zero())
      : recovery(std::make_shared<LeafRecovery>(
            this->loop,
            this->store,
            "checkpoints",
            this->directory,
            this->feed,
            [this](bool expected) { this->is_expected = expected; },
            this->log,
            Clock::now() - running_for)) {
    const checkpoint::LeafCheckpoint stored{{leaf("a", "s1"), leaf("b", "s2")}};
    this->store.force_put("checkpoints", checkpoint::kCheckpointName,
                          checkpoint::encode(stored));
  }

  /// Lets the recovery run to its end.
  bool finish() {
    return ibismux::testing::run_until(this->loop,
                                       [this] { return !this->is_expected; });
  }

  boost::asio::io_context loop;
  ibismux::testing::MemoryObjectStore store;
  eventlog::EventLog log{this->loop, {.descriptor = -1}};
  prometheus::Registry registry;
  Listener listener;
  NoEntries decoder;
  directory::LeafDirectory directory{this->listener};
  LeafFeed feed{this->loop, this->directory, this->decoder, this->registry,
                this->log,  [] {},           [] {}};
  bool is_expected = false;
  std::shared_ptr<LeafRecovery> recovery;
};

Test(leaf_recovery, services_of_routes_without_leafs_are_found) {
  Fixture fixture;
  fixture.directory.put(leaf("a", "s1"), Clock::now());
  cr_assert(services_without_leafs(two_services(), fixture.directory) ==
            std::set<std::string>({"s2"}));
}

// Guards against refusing all requests after the registry has lost the entries
// of running leafs.
Test(leaf_recovery, a_start_without_leafs_adopts_those_of_the_checkpoint) {
  Fixture fixture;
  fixture.recovery->start(two_services());
  cr_assert(fixture.is_expected);
  cr_assert(fixture.finish());
  cr_assert(fixture.directory.size() == 2);
}

// Guards against a read of the store by each daemon that starts.
Test(leaf_recovery, a_start_with_leafs_of_all_services_reads_nothing) {
  Fixture fixture;
  fixture.directory.replace({leaf("c", "s1"), leaf("d", "s2")}, Clock::now());
  fixture.recovery->start(two_services());
  cr_assert(!fixture.is_expected);
}

// Guards against giving up at the first read of a store that is still away.
Test(leaf_recovery, a_store_that_does_not_answer_is_asked_again) {
  Fixture fixture;
  fixture.store.set_reads_failing(true);
  fixture.recovery->start(two_services());
  fixture.loop.poll();
  cr_assert(fixture.is_expected);
  fixture.store.set_reads_failing(false);
  cr_assert(fixture.finish());
  cr_assert(fixture.directory.size() == 2);
}

// Guards against requests that wait for a store that stays away.
Test(leaf_recovery, nothing_is_expected_after_the_start_period) {
  const Duration period = startup::StartGate::kStartPeriod;
  Fixture late(period);
  late.recovery->start(two_services());
  cr_assert(!late.is_expected);
  Fixture ending(period - milliseconds(300));
  ending.store.set_reads_failing(true);
  ending.recovery->start(two_services());
  cr_assert(ending.is_expected);
  cr_assert(ending.finish());
  cr_assert(ending.directory.size() == 0);
}

}  // namespace
}  // namespace ibismux::edge
