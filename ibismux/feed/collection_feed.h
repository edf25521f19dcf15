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

/// Times of a feed.
struct FeedSettings {
  std::chrono::milliseconds watch_wait{25'000};
  /// After a change: how long further ones may gather before the next call.
  std::chrono::milliseconds change_pause{300};
  /// After the first reading: how long peers may offer to bring updates
  /// before the first watch.
  std::chrono::milliseconds first_pause{0};
};

/// Follows one collection of the store, for as long as it lives: reads it whole
/// and then watches what changes, or takes what peers bring.
///
/// The first reading may be answered from a state some seconds old: after an
/// outage all daemons of a fleet make one at once, each is paid for, and such
/// ones are cheap. What it lacks comes from peers a moment later, or from the
/// first watch. Until then it is no contact with the store that peers could
/// rely on.
///
/// Belongs to one event loop; not thread safe.
class CollectionFeed : public std::enable_shared_from_this<CollectionFeed> {
 public:
  /// What else is called with the feed's updates.
  struct Listeners {
    /// Something new was taken in, from the store or a peer.
    std::function<void(const Update&)> on_update = [](const Update&) {};
    /// The store has answered a call of this feed.
    std::function<void()> on_store_contact = [] {};
    /// A call of this feed to the store failed.
    std::function<void()> on_store_failure = [] {};
    /// How long peers may offer to bring updates, beyond the settings' first
    /// pause, before the first watch.
    std::function<Duration()> wait_for_peers = [] { return Duration::zero(); };
  };

  /// All but `settings` outlive the feed.
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

  /// Begins to follow the store. Called once.
  void start();

  /// Reads the whole collection again and watches anew, whatever becomes of the
  /// watch that waits now: for when there is reason to think that it has
  /// stalled. A store that did not answer for a while answers none of the
  /// watches that it was sent meanwhile, also once it is back.
  void restart();

  /// Stops calling the store: peers bring updates. A watch that waits still
  /// counts when it is answered.
  void suspend();

  /// The store has answered another call: a pause after a failure ends now.
  void retry_now();

  /// An update from a peer.
  void take(Update update);

  [[nodiscard]] const CollectionMirror& mirror() const noexcept {
    return this->known;
  }

  /// What is known is what the store holds now, as far as it has told: it was
  /// read from there, not from a state some seconds old, or is watched.
  [[nodiscard]] bool is_current() const noexcept { return this->current; }

  /// What is known may be out of date: the last call failed, or no peer brings
  /// updates.
  [[nodiscard]] bool lost() const noexcept { return this->is_lost; }

  /// The store doesn't answer, and no peer brings updates from it.
  void report_lost(std::string_view reason);
  /// Updates can be had again. @param reason For the log.
  void report_regained(std::string_view reason);
  /// See `FeedObserver`.
  void report_unbroken_since(TimePoint since) {
    this->observer.on_unbroken_since(since);
  }

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
  bool first = true;
  bool current = false;
  std::uint64_t round = 0;
  std::uint32_t failures = 0;
  /// After the next watch whose history is gone: until it is read again.
  Duration gone_pause{0};
  http::Timer pause_timer;
  http::Timer settle_timer;
};

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_COLLECTION_FEED_H_
