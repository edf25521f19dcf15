// Daemons of a fleet that starts, and which of them call the store.
//
// The load: a large fleet that starts at once.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "tests/support/fake_peer_network.h"
#include "tests/support/memory_object_store.h"
#include "tests/support/run_until.h"

#include "ibismux/feed/feed_relay.h"

#include <criterion/criterion.h>

#include <functional>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/feed/collection_feed.h"
#include "ibismux/feed/feed_observer.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/membership/spread_tree.h"

namespace ibismux::feed {
namespace {

using ibismux::testing::MemoryObjectStore;

// Longer than any test takes: nobody reads the store for want of patience.
constexpr std::chrono::minutes kPatience{10};
constexpr int kHosts = 12;

class CountingStore : public MemoryObjectStore {
 public:
  Task<Result<store::Listing>> list(std::string collection,
                                    TimePoint deadline) override {
    ++this->calls;
    auto listing =
        co_await MemoryObjectStore::list(std::move(collection), deadline);
    co_return listing;
  }
  Task<Result<store::WatchBatch>> watch(
      std::string collection,
      store::Version since,
      std::chrono::milliseconds wait) override {
    ++this->calls;
    auto batch =
        co_await MemoryObjectStore::watch(std::move(collection), since, wait);
    co_return batch;
  }

  int calls = 0;
};

struct Daemon {
  Daemon(boost::asio::io_context& loop,
         tests::FakePeerCluster& cluster,
         const std::string& name)
      : log(loop, {.descriptor = -1}),
        feed(std::make_shared<CollectionFeed>(loop,
                                              this->store,
                                              "config",
                                              FeedSettings{},
                                              this->observer,
                                              this->log)),
        relay(std::make_shared<FeedRelay>(
            loop,
            cluster.add({name, 1}, loop.get_executor()),
            SourceSettings{},
            FeedRelay::Feeds{this->feed},
            this->log)) {}

  struct Observer : FeedObserver {
    void on_listing(const store::Listing&) override {}
    void on_change(const store::WatchBatch::Event&) override {}
    void on_lost() override {}
    void on_regained() override {}
  };

  CountingStore store;
  Observer observer;
  eventlog::EventLog log;
  std::shared_ptr<CollectionFeed> feed;
  std::shared_ptr<FeedRelay> relay;
};

struct Fixture {
  boost::asio::io_context loop;
  tests::FakePeerCluster cluster;
  std::map<std::string, std::unique_ptr<Daemon>> daemons;
  membership::MembershipView view;

  Fixture() {
    this->view.joined = true;
    for (int i = 0; i < kHosts; ++i) {
      const std::string name = "h" + std::to_string(i);
      this->view.members.push_back({name, 1, "10.0.0.1", 1, "z"});
      auto daemon = std::make_unique<Daemon>(this->loop, this->cluster, name);
      this->fill(daemon->store);
      this->daemons.emplace(name, std::move(daemon));
    }
  }
  ~Fixture() {
    for (const auto& [name, daemon] : this->daemons) {
      daemon->feed->suspend();
    }
  }

  void fill(CountingStore& store) {
    boost::asio::io_context own;
    boost::asio::co_spawn(own,
                          store.put("config", "main", "1", 0, TimePoint::max()),
                          [](std::exception_ptr, Result<store::Version>) {});
    own.run();
  }

  void start() {
    for (const auto& [name, daemon] : this->daemons) {
      daemon->relay->start(kPatience);
      this->view.self = name;
      daemon->relay->on_view(this->view);
    }
  }

  bool run_until(const std::function<bool()>& reached) {
    return ibismux::testing::run_until(this->loop, reached);
  }

  [[nodiscard]] bool all_know() const {
    return std::all_of(this->daemons.begin(), this->daemons.end(),
                       [](const auto& row) {
                         return row.second->feed->mirror().version() > 0;
                       });
  }

  [[nodiscard]] int callers() const {
    return static_cast<int>(std::count_if(
        this->daemons.begin(), this->daemons.end(),
        [](const auto& row) { return row.second->store.calls > 0; }));
  }
};

Test(feed_relay, of_a_fleet_that_starts_only_watchers_call_the_store) {
  Fixture fixture;
  fixture.start();
  cr_assert(fixture.run_until([&] { return fixture.all_know(); }));
  cr_assert(fixture.callers() == 1);
  // All follow their peers a moment later, and still nobody else calls.
  const auto follows = [](const auto& row) {
    return row.second->relay->follows_store();
  };
  cr_assert(fixture.run_until([&] {
    return std::count_if(fixture.daemons.begin(), fixture.daemons.end(),
                         follows) == 1;
  }));
  cr_assert(fixture.callers() == 1);
}

/// A store that turns away the calls for one collection.
class HalfStore : public MemoryObjectStore {
 public:
  Task<Result<store::Listing>> list(std::string collection,
                                    TimePoint deadline) override {
    if (collection == "config") {
      ++this->config_lists;
      if (this->turns_away) {
        co_return fail(ErrorKind::kPlatformUnavailable, "turned away");
      }
    }
    auto listing =
        co_await MemoryObjectStore::list(std::move(collection), deadline);
    co_return listing;
  }

  bool turns_away = true;
  int config_lists = 0;
};

struct ContactCount : FeedObserver {
  void on_listing(const store::Listing&) override {}
  void on_change(const store::WatchBatch::Event&) override {}
  void on_lost() override {}
  void on_regained() override {}
  void on_unbroken_since(TimePoint) override { ++this->contacts; }

  int contacts = 0;
};

// Guards against an answer for one collection that passes for one for all.
Test(feed_relay, a_store_that_answers_for_one_collection_only_is_no_contact) {
  boost::asio::io_context loop;
  tests::FakePeerCluster cluster;
  eventlog::EventLog log(loop, {.descriptor = -1});
  HalfStore store;
  ContactCount observer;
  FeedSettings settings;
  settings.change_pause = std::chrono::milliseconds(0);
  const auto feed = [&](const std::string& collection) {
    return std::make_shared<CollectionFeed>(loop, store, collection, settings,
                                            observer, log);
  };
  const FeedRelay::Feeds feeds = {feed("config"), feed("servers")};
  const auto relay = std::make_shared<FeedRelay>(
      loop, cluster.add({"h0", 1}, loop.get_executor()), SourceSettings{},
      feeds, log);
  const auto put = [&](const std::string& collection, const std::string& name) {
    boost::asio::co_spawn(loop,
                          store.put(collection, name, "1", 0, TimePoint::max()),
                          [](std::exception_ptr, Result<store::Version>) {});
  };
  const auto run_until = [&](const std::function<bool()>& reached) {
    return ibismux::testing::run_until(loop, reached);
  };
  put("servers", "i-1");
  relay->start(Duration::zero());
  cr_assert(run_until([&] { return feeds[1]->is_current(); }));
  // The watch of the leafs is answered; the configuration is still lost.
  put("servers", "i-2");
  cr_assert(run_until([&] { return feeds[1]->mirror().version() >= 2; }));
  cr_assert(feeds[0]->lost());
  cr_assert(observer.contacts == 0);
  store.turns_away = false;
  put("servers", "i-3");
  cr_assert(run_until([&] { return observer.contacts > 0; }));
  cr_assert(!feeds[0]->lost());
  for (const auto& each : feeds) {
    each->suspend();
  }
}

}  // namespace
}  // namespace ibismux::feed
