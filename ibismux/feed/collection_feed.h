#ifndef IBISMUX_FEED_COLLECTION_FEED_H_
#define IBISMUX_FEED_COLLECTION_FEED_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/feed/collection_mirror.h"
#include "ibismux/feed/feed_observer.h"
#include "ibismux/http/socket.h"
#include "ibismux/store/object_store.h"

namespace ibismux::feed {

/// Timing of a `CollectionFeed`.
struct FeedSettings {
  std::chrono::milliseconds watch_wait{25'000};
  /// Pause between a change and the next watch, in which further changes
  /// accumulate.
  std::chrono::milliseconds change_pause{300};
  /// Pause between the first read and the first watch, in which peers may offer
  /// to send updates.
  std::chrono::milliseconds first_watch_delay{0};
};

/// Follows one collection of the store throughout its lifetime: reads the
/// complete collection and then watches for changes, or applies updates that
/// peers send.
///
/// The first read may return a state that is some seconds old. After an outage
/// all daemons of a fleet read at the same time, each read is paid for, and
/// stale reads are cheap. Newer changes arrive from peers shortly afterwards,
/// or with the first watch. Until then the read doesn't count as a contact with
/// the store on which peers could rely.
///
/// Belongs to one event loop; not thread safe.
class CollectionFeed : public std::enable_shared_from_this<CollectionFeed> {
 public:
  /// Callbacks besides the `FeedObserver`.
  struct Listeners {
    /// A newer update was applied, from the store or a peer.
    std::function<void(const Update&)> on_update = [](const Update&) {};
    /// The store has answered a call of this feed.
    std::function<void()> on_store_contact = [] {};
    /// A call of this feed to the store failed.
    std::function<void()> on_store_failure = [] {};
    /// Returns how long to wait for updates of peers before the first watch, in
    /// addition to `FeedSettings::first_watch_delay`.
    std::function<Duration()> peer_wait_time = [] { return Duration::zero(); };
  };

  /// All references must outlive the feed.
  CollectionFeed(boost::asio::io_context& loop,
                 store::ObjectStore& store,
                 std::string collection,
                 FeedSettings settings,
                 FeedObserver& observer,
                 eventlog::EventLog& log);

  /// Call before `start()`.
  void set_listeners(Listeners listeners) {
    this->listeners = std::move(listeners);
  }

  /// Starts to follow the store. Must be called only once.
  void start();

  /// Reads the complete collection again and starts a new watch without waiting
  /// for the pending one. For use when the pending watch may have stalled: a
  /// store that did not answer for a while never answers the watches that it
  /// received during that time, even after it has recovered.
  void restart();

  /// Asks the store for changes that the pending watch should have delivered,
  /// and applies them: the answer to a watch may be lost while the store
  /// answers other calls. A watch that delivers nothing until the next check
  /// although the store holds a change is replaced, after a complete read. Does
  /// nothing while the collection is lost, no watch is pending, or the last
  /// check has not ended.
  /// @param deadline Of the question to the store.
  void check_watch(TimePoint deadline);

  /// Stops calling the store because peers send updates. If a pending watch is
  /// answered later, its answer is still applied.
  void suspend();

  /// Ends the pause after a failed call. For use when the store has answered
  /// another call.
  void retry_now();

  /// Applies an update from a peer.
  void apply(Update update);

  [[nodiscard]] const CollectionMirror& mirror() const noexcept {
    return this->known;
  }

  /// Whether the known state comes from a current read of the store, rather
  /// than a possibly stale one, or is being watched.
  [[nodiscard]] bool is_current() const noexcept {
    return this->current && this->is_confirmed();
  }

  /// False after several failed checks of the pending watch in a row.
  [[nodiscard]] bool is_confirmed() const noexcept {
    return this->unanswered_checks <= kMaxUnansweredChecks;
  }

  /// Whether the known state may be out of date because the last call failed or
  /// no peer sends updates.
  [[nodiscard]] bool lost() const noexcept { return this->is_lost; }

  /// Reports that the store doesn't answer and no peer sends its updates.
  /// @param reason For the log.
  void report_lost(std::string_view reason);
  /// Reports that updates are available again. @param reason For the log.
  void report_regained(std::string_view reason);
  /// See `FeedObserver`.
  void report_available_since(TimePoint since) {
    this->observer.on_available_since(since);
  }

 private:
  /// Identifies a watch; 0 is none.
  using WatchNumber = std::uint64_t;

  /// A single answer may be lost.
  static constexpr int kMaxUnansweredChecks = 2;

  /// Follows the store until a later round starts.
  [[nodiscard]] static Task<void> run(std::shared_ptr<CollectionFeed> self,
                                      std::uint64_t round);
  [[nodiscard]] static Task<bool> read_all(std::shared_ptr<CollectionFeed> self,
                                           std::uint64_t round);
  [[nodiscard]] static Task<bool> follow(std::shared_ptr<CollectionFeed> self,
                                         std::uint64_t round);
  /// Reports that a call of a round failed, and waits for the next attempt. A
  /// failure that a later round has overtaken tells nothing about the store.
  [[nodiscard]] static Task<void> on_failure(
      std::shared_ptr<CollectionFeed> self,
      std::uint64_t round,
      Error error);
  [[nodiscard]] static Task<void> run_check(
      std::shared_ptr<CollectionFeed> self,
      TimePoint deadline);
  /// Waits for `time`, or until `retry_now()`.
  [[nodiscard]] static Task<void> pause(std::shared_ptr<CollectionFeed> self,
                                        Duration time);
  void store_answered();
  void schedule_settlement();
  void settle();
  [[nodiscard]] Duration next_pause(const Error& error);

  boost::asio::io_context& loop;
  store::ObjectStore& store;
  const FeedSettings settings;
  FeedObserver& observer;
  eventlog::EventLog& log;
  Listeners listeners;

  CollectionMirror known;
  bool is_lost = false;
  bool is_first_read = true;
  bool current = false;
  std::uint64_t round = 0;
  std::uint32_t failures = 0;
  WatchNumber last_watch = 0;
  WatchNumber pending_watch = 0;
  /// A watch that was pending while the store held a newer change.
  WatchNumber overdue_watch = 0;
  /// The store held no change between the known version and this one.
  store::Version unchanged_until = 0;
  bool is_checking = false;
  int unanswered_checks = 0;  ///< In a row.
  /// Pause before the next read that follows a watch whose history was
  /// compacted.
  Duration compacted_pause{0};
  http::Timer pause_timer;
  http::Timer settle_timer;
};

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_COLLECTION_FEED_H_
