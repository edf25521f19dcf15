#include "ibismux/release/publisher.h"

#include <memory>
#include <vector>

#include "ibismux/base/io_pool.h"
#include "tests/release/publication_fleet.h"

#include <criterion/criterion.h>

namespace ibismux::release {
namespace {

using testing::MemoryObjectStore;
using testing::operator_writes;
using testing::PublicationInvariants;

constexpr std::chrono::seconds kLimit{60};

PublisherSettings quick_settings() {
  PublisherSettings settings;
  settings.rank_step = std::chrono::milliseconds(1);
  settings.stand_by_wait = std::chrono::milliseconds(1);
  settings.least_interval = std::chrono::milliseconds(1);
  settings.first_retry = std::chrono::milliseconds(1);
  settings.longest_retry = std::chrono::milliseconds(5);
  return settings;
}

/// One daemon's publisher, with a rank that the test sets.
struct Daemon {
  Daemon(boost::asio::io_context& loop,
         MemoryObjectStore& store,
         const std::string& name,
         std::size_t rank)
      : rank(rank),
        publisher(
            loop,
            store,
            releases,
            registry,
            quick_settings(),
            {name, 1},
            [this] { return this->rank; },
            std::chrono::system_clock::now,
            &work.at(0)) {
    FLAGS_minloglevel = google::GLOG_ERROR;
    this->work.start();
    this->publisher.start();
  }

  ~Daemon() { this->work.stop(); }

  std::size_t rank;
  IoPool work{1};
  ReleaseStore releases;
  prometheus::Registry registry;
  Publisher publisher;
};

struct Fixture {
  Fixture() : invariants(this->store) {
    for (const char* json : testing::kAllSamples) {
      operator_writes(this->store, json);
    }
  }

  void add(const std::string& name, std::size_t rank) {
    this->daemons.push_back(
        std::make_unique<Daemon>(this->loop, this->store, name, rank));
  }

  /// Runs the daemons until the store's release has accepted `version`.
  void wait_for(store::Version version) {
    const TimePoint end = Clock::now() + kLimit;
    while (!this->accepted(version)) {
      cr_assert(Clock::now() < end, "not accepted in time");
      this->loop.run_one_for(kLimit);
      const std::string broken = this->invariants.check();
      cr_assert(broken.empty(), "%s", broken.c_str());
    }
  }

  [[nodiscard]] bool accepted(store::Version version) {
    for (const auto& [key, object] : this->invariants.contents()->objects) {
      if (object.version == version) {
        return true;
      }
    }
    return false;
  }

  store::Version write(int concurrency) {
    return operator_writes(this->store,
                           "{'kind':'limit_policy','name':'l1','spec':"
                           "{'concurrency':" +
                               std::to_string(concurrency) + "}}");
  }

  boost::asio::io_context loop;
  MemoryObjectStore store;
  PublicationInvariants invariants;
  std::vector<std::unique_ptr<Daemon>> daemons;
};

Test(publisher, takes_up_what_is_written_straight_to_the_platform) {
  Fixture test;
  test.add("one", 0);
  test.wait_for(7);
  test.wait_for(test.write(2));
}

Test(publisher, is_replaced_by_the_next_rank_when_it_is_gone) {
  Fixture test;
  test.add("one", 0);
  test.add("two", 1);
  test.wait_for(7);
  test.daemons[0]->publisher.stop();
  test.wait_for(test.write(2));
}

// Failure: a change made through a daemon is never put in force.
Test(publisher, publishes_from_any_rank_what_was_written_through_it) {
  Fixture test;
  test.add("nine", 9);
  const store::Version version = test.write(2);
  test.daemons[0]->publisher.nudge({ObjectKind::kLimitPolicy, "l1"}, version);
  test.wait_for(version);
}

Test(publisher, begins_to_watch_when_its_rank_rises) {
  Fixture test;
  test.add("nine", 9);
  test.daemons[0]->rank = 0;
  test.wait_for(7);
}

// Failure: changes written before an outage are forgotten after it.
Test(publisher, goes_on_after_an_outage) {
  Fixture test;
  test.add("one", 0);
  test.wait_for(7);
  test.store.set_outage(true);
  test.loop.run_one_for(kLimit);
  const store::Version version = test.write(2);
  test.store.compact();
  test.store.set_outage(false);
  test.wait_for(version);
}

Test(publisher, goes_on_after_lost_answers) {
  Fixture test;
  test.add("one", 0);
  test.store.lose_answers(4);
  test.wait_for(7);
  test.store.lose_requests(3);
  test.wait_for(test.write(2));
}

}  // namespace
}  // namespace ibismux::release
