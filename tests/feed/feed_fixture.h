#ifndef TESTS_FEED_FEED_FIXTURE_H_
#define TESTS_FEED_FEED_FIXTURE_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/feed/collection_feed.h"
#include "tests/support/memory_object_store.h"
#include "tests/support/run_until.h"

namespace ibismux::feed::testing {

inline constexpr std::chrono::seconds kLimit{20};

/// Records the objects and events that the feed reports.
class Observer : public FeedObserver {
 public:
  void on_listing(const store::Listing& listing) override {
    this->objects.clear();
    for (const auto& object : listing.objects) {
      this->objects[object.name] = object.value;
    }
    ++this->listings;
  }
  void on_change(const store::WatchBatch::Event& event) override {
    if (event.removed) {
      this->objects.erase(event.object.name);
    } else {
      this->objects[event.object.name] = event.object.value;
    }
  }
  void on_lost() override { ++this->losses; }
  void on_regained() override { ++this->returns; }

  std::map<std::string, std::string> objects;
  int listings = 0;
  int losses = 0;
  int returns = 0;
};

/// A store with injected faults: failed reads, and watches that fail, are never
/// answered, or find their history compacted.
class FaultyStore : public ibismux::testing::MemoryObjectStore {
 public:
  Task<Result<store::Listing>> list(std::string collection,
                                    TimePoint deadline) override {
    ++this->lists;
    if (this->fails_lists) {
      co_return fail(ErrorKind::kPlatformUnavailable, "down");
    }
    auto listing =
        co_await MemoryObjectStore::list(std::move(collection), deadline);
    co_return listing;
  }
  Task<Result<store::Listing>> stale_list(std::string collection,
                                          TimePoint deadline) override {
    ++this->stale_lists;
    auto listing =
        co_await MemoryObjectStore::list(std::move(collection), deadline);
    co_return listing;
  }
  Task<Result<store::WatchBatch>> watch(
      std::string collection,
      store::Version since,
      std::chrono::milliseconds wait) override {
    ++this->watches;
    if (this->never_answers_watches) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      this->silence);
      co_await timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
      ++this->ended_watches;
      co_return fail(ErrorKind::kPlatformUnavailable, "no response");
    }
    if (this->compacts_history) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      std::chrono::milliseconds(4));
      co_await timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
      store::WatchBatch gone;
      gone.version = since;
      gone.compacted = true;
      co_return gone;
    }
    if (this->watch_failures > 0) {
      --this->watch_failures;
      co_return fail(ErrorKind::kPlatformUnavailable, "cut");
    }
    auto batch =
        co_await MemoryObjectStore::watch(std::move(collection), since, wait);
    co_return batch;
  }

  Task<Result<store::WatchBatch>> stale_changes(std::string collection,
                                                store::Version since,
                                                TimePoint) override {
    ++this->checks;
    this->checked_from = since;
    if (this->hangs_checks) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      kLimit);
      co_await timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    if (this->fails_checks) {
      co_return fail(ErrorKind::kPlatformUnavailable, "no response");
    }
    auto batch = co_await MemoryObjectStore::watch(
        std::move(collection), since, std::chrono::milliseconds::zero());
    co_return batch;
  }

  bool never_answers_watches = false;
  bool fails_checks = false;
  bool hangs_checks = false;
  Duration silence = kLimit;  ///< Until a watch without an answer fails.
  int ended_watches = 0;      ///< Those without an answer.
  int checks = 0;
  store::Version checked_from = 0;  ///< By the last check.
  bool fails_lists = false;         ///< Reads of the current state fail.
  bool compacts_history = false;    ///< Watches find their history compacted.
  int watch_failures = 0;
  int watches = 0;
  int lists = 0;
  int stale_lists = 0;
};

struct Fixture {
  boost::asio::io_context loop;
  eventlog::EventLog log{this->loop, {.descriptor = -1}};
  FaultyStore store;
  Observer observer;
  std::shared_ptr<CollectionFeed> feed;

  Fixture() {
    this->put("main", "1");
    FeedSettings settings;
    settings.watch_wait = std::chrono::milliseconds(20);
    settings.change_pause = std::chrono::milliseconds(0);
    this->feed = std::make_shared<CollectionFeed>(
        this->loop, this->store, "config", settings, this->observer, this->log);
    this->feed->start();
  }
  ~Fixture() { this->feed->suspend(); }

  void put(const std::string& name, const std::string& value) {
    store::Version& version = this->versions[name];
    version = this->write("config", name, value, version);
  }

  /// Writes an object of another collection.
  void put_elsewhere() { this->write("another", "main", "1", 0); }

  /// Returns the new version.
  store::Version write(const std::string& collection,
                       const std::string& name,
                       const std::string& value,
                       store::Version expected) {
    boost::asio::io_context own;
    store::Version written = 0;
    boost::asio::co_spawn(
        own,
        this->store.put(collection, name, value, expected, TimePoint::max()),
        [&](std::exception_ptr, Result<store::Version> version) {
          written = version.value();
        });
    own.run();
    return written;
  }

  /// Applies a change of "main" that a peer has sent.
  void apply_from_peer(const std::string& value) {
    const store::Version at = this->feed->mirror().version();
    this->feed->apply({"config",
                       at,
                       at + 1,
                       false,
                       {{{"config", "main", at + 1, value}, false}}});
  }

  bool run_until(const std::function<bool()>& reached) {
    return ibismux::testing::run_until(this->loop, reached);
  }

  std::map<std::string, store::Version> versions;
};

}  // namespace ibismux::feed::testing

#endif  // TESTS_FEED_FEED_FIXTURE_H_
