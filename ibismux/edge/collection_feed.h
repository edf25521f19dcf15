#ifndef IBISMUX_EDGE_COLLECTION_FEED_H_
#define IBISMUX_EDGE_COLLECTION_FEED_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/http/socket.h"
#include "ibismux/store/object_store.h"

namespace ibismux::edge {

/// Is told what a collection of the store holds. Called on the feed's loop.
class FeedObserver {
 public:
  virtual ~FeedObserver() = default;
  virtual void on_listing(const store::Listing& listing) = 0;
  virtual void on_change(const store::WatchBatch::Event& event) = 0;
  /// The store doesn't answer; what was told grows old.
  virtual void on_lost() {}
  /// It answers again, and what is told from here on is new.
  virtual void on_regained() {}
};

/// Times of a feed.
struct FeedSettings {
  std::chrono::milliseconds watch_wait{25'000};
  /// After a change: how long further ones may gather before the next call.
  std::chrono::milliseconds change_pause{300};
};

/// Follows one collection of the store: reads it whole, then watches what
/// changes, for as long as it lives.
///
/// Belongs to one event loop; not thread safe.
class CollectionFeed : public std::enable_shared_from_this<CollectionFeed> {
 public:
  /// All but `settings` outlive the feed.
  CollectionFeed(boost::asio::io_context& loop,
                 store::ObjectStore& store,
                 std::string collection,
                 FeedSettings settings,
                 FeedObserver& observer,
                 eventlog::EventLog& log);

  /// Begins. Called once.
  void start();

  /// Reads the whole collection again and watches anew, whatever becomes of the
  /// watch that waits now: for when there is reason to think that it has gone
  /// deaf. A store that was silent for a while answers none of the watches that
  /// it was sent meanwhile, also once it is back.
  void restart();

  /// The store has answered another call: a pause after a failure ends now.
  void retry_now();

  /// The collection as of this version of the store is known; 0: not yet.
  [[nodiscard]] store::Version version() const noexcept { return this->known; }

  /// The store is known not to answer, by another call than the feed's.
  void report_lost(std::string_view reason);

 private:
  /// Goes on until a later round begins.
  [[nodiscard]] static Task<void> run(std::shared_ptr<CollectionFeed> self,
                                      std::uint64_t round);
  [[nodiscard]] static Task<bool> read_all(
      std::shared_ptr<CollectionFeed> self);
  [[nodiscard]] static Task<bool> follow(std::shared_ptr<CollectionFeed> self);
  /// Waits for `time`, or until `retry_now()`.
  [[nodiscard]] static Task<void> pause(std::shared_ptr<CollectionFeed> self,
                                        Duration time);
  void take(const store::Listing& listing);
  void take(const store::WatchBatch& batch);
  void regained();
  [[nodiscard]] Duration next_pause(const Error& error);

  boost::asio::io_context& loop;
  store::ObjectStore& store;
  const std::string collection;
  const FeedSettings settings;
  FeedObserver& observer;
  eventlog::EventLog& log;

  store::Version known = 0;
  bool is_lost = false;
  std::uint64_t round = 0;
  std::uint32_t failures = 0;
  http::Timer pause_timer;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_COLLECTION_FEED_H_
