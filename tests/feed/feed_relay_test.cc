// Which daemons call the store while a large fleet starts at the same time.

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

// Longer than any test takes, so that no daemon reads the store because the
// wait for its peers has ended.
constexpr std::chrono::minutes kMaxPeerWait{10};
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
         const std::string& name,
         SourceSettings settings)
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
            settings,
            FeedRelay::Feeds{this->feed},
            this->log)) {
    this->relay->on_probe_due([this] { ++this->probes; });
  }

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
  int probes = 0;
};

struct Fixture {
  boost::asio::io_context loop;
  tests::FakePeerCluster cluster;
  std::map<std::string, std::unique_ptr<Daemon>> daemons;
  membership::MembershipView view;

  explicit Fixture(SourceSettings settings = {}) {
    this->view.joined = true;
    for (int i = 0; i < kHosts; ++i) {
      const std::string name = "h" + std::to_string(i);
      this->view.members.push_back({name, 1, "10.0.0.1", 1, "z"});
      auto daemon =
          std::make_unique<Daemon>(this->loop, this->cluster, name, settings);
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
      daemon->relay->start(kMaxPeerWait);
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

  [[nodiscard]] int followers_of_store() const {
    return static_cast<int>(std::count_if(
        this->daemons.begin(), this->daemons.end(),
        [](const auto& row) { return row.second->relay->follows_store(); }));
  }

  /// Starts all, and waits until they rely on one watcher. @return Its name.
  std::string settle() {
    this->start();
    cr_assert(this->run_until(
        [this] { return this->all_know() && this->calling_daemons() == 1; }));
    const auto watcher = std::find_if(
        this->daemons.begin(), this->daemons.end(),
        [](const auto& row) { return row.second->store.calls > 0; });
    // The first reading is no contact, the answer to a watch is one.
    boost::asio::co_spawn(
        this->loop,
        watcher->second->store.put("config", "more", "1", 0, TimePoint::max()),
        [](const std::exception_ptr&, const Result<store::Version>&) {});
    cr_assert(this->run_until([this] {
      return std::all_of(this->daemons.begin(), this->daemons.end(),
                         [](const auto& row) {
                           return row.second->feed->mirror().version() > 1;
                         });
    }));
    return watcher->first;
  }

  [[nodiscard]] int calling_daemons() const {
    return static_cast<int>(std::count_if(
        this->daemons.begin(), this->daemons.end(),
        [](const auto& row) { return row.second->store.calls > 0; }));
  }
};

Test(feed_relay, only_watchers_of_a_starting_fleet_call_the_store) {
  Fixture fixture;
  fixture.start();
  cr_assert(fixture.run_until([&] { return fixture.all_know(); }));
  cr_assert(fixture.calling_daemons() == 1);
  // Shortly afterwards all others follow their peers, and still only the
  // watcher has called the store.
  const auto follows = [](const auto& row) {
    return row.second->relay->follows_store();
  };
  cr_assert(fixture.run_until([&] {
    return std::count_if(fixture.daemons.begin(), fixture.daemons.end(),
                         follows) == 1;
  }));
  cr_assert(fixture.calling_daemons() == 1);
}

// Guards against full readings by daemons whose store is away.
Test(feed_relay, a_daemon_whose_peers_know_nothing_new_asks_before_it_reads) {
  Fixture fixture({.few_probes = true});
  const std::string watcher = fixture.settle();
  // The watcher has no further contacts.
  cr_assert(fixture.run_until(
      [&] { return fixture.followers_of_store() == kHosts; }));
  for (const auto& [name, daemon] : fixture.daemons) {
    cr_assert(daemon->relay->is_probing() == (name != watcher));
    cr_assert(daemon->probes > 0 || name == watcher);
    cr_assert(daemon->store.calls == 0 || name == watcher);
  }
  cr_assert(fixture.run_until([&] {
    fixture.daemons.at(watcher)->relay->on_store_contact();
    return fixture.followers_of_store() == 1;
  }));
  cr_assert(fixture.calling_daemons() == 1);
  // A question at the start and the news at the end.
  for (const auto& [name, daemon] : fixture.daemons) {
    cr_assert(daemon->probes >= 2 || name == watcher);
  }
}

/// A store that can reject the listings of one collection.
class RejectingStore : public MemoryObjectStore {
 public:
  Task<Result<store::Listing>> list(std::string collection,
                                    TimePoint deadline) override {
    if (collection == "config") {
      ++this->config_lists;
      if (this->rejects) {
        co_return fail(ErrorKind::kPlatformUnavailable, "turned away");
      }
    }
    auto listing =
        co_await MemoryObjectStore::list(std::move(collection), deadline);
    co_return listing;
  }

  bool rejects = true;
  int config_lists = 0;
};

struct ContactCounter : FeedObserver {
  void on_listing(const store::Listing&) override {}
  void on_change(const store::WatchBatch::Event&) override {}
  void on_lost() override {}
  void on_regained() override {}
  void on_available_since(TimePoint) override { ++this->contacts; }

  int contacts = 0;
};

// Guards against counting an answer for one collection as a contact for all.
Test(feed_relay, an_answer_for_only_one_collection_is_no_contact) {
  boost::asio::io_context loop;
  tests::FakePeerCluster cluster;
  eventlog::EventLog log(loop, {.descriptor = -1});
  RejectingStore store;
  ContactCounter observer;
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
  // The watch of "servers" is answered, and "config" is still lost.
  put("servers", "i-2");
  cr_assert(run_until([&] { return feeds[1]->mirror().version() >= 2; }));
  cr_assert(feeds[0]->lost());
  cr_assert(observer.contacts == 0);
  store.rejects = false;
  put("servers", "i-3");
  cr_assert(run_until([&] { return observer.contacts > 0; }));
  cr_assert(!feeds[0]->lost());
  for (const auto& each : feeds) {
    each->suspend();
  }
}

}  // namespace
}  // namespace ibismux::feed
