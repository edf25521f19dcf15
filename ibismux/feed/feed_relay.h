#ifndef IBISMUX_FEED_FEED_RELAY_H_
#define IBISMUX_FEED_FEED_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/feed/messages.h"
#include "ibismux/feed/source_choice.h"
#include "ibismux/feed/store_availability.h"
#include "ibismux/http/socket.h"
#include "ibismux/membership/forward.h"
#include "ibismux/peer/peer_network.h"

namespace ibismux::feed {

class CollectionFeed;

/// Relays the store's updates between daemons, and switches this daemon's feeds
/// between the store and its peers.
///
/// Belongs to one event loop, which is also the network's; not thread safe.
class FeedRelay : public std::enable_shared_from_this<FeedRelay> {
 public:
  using Feeds = std::vector<std::shared_ptr<CollectionFeed>>;

  /// Precondition: neither the network nor the feeds have started. `loop`,
  /// `network` and `log` must outlive the relay.
  FeedRelay(boost::asio::io_context& loop,
            peer::PeerNetwork& network,
            SourceSettings settings,
            Feeds feeds,
            eventlog::EventLog& log);

  /// Registers handlers and listeners, and starts. Must be called once, before
  /// the network starts.
  /// @param max_peer_wait How long to wait for peers to send all collections
  /// before this daemon reads the store itself.
  void start(Duration max_peer_wait);

  /// The membership has changed.
  void on_view(const membership::MembershipView& view);

  /// The store answered this daemon. The answer counts as a contact only if no
  /// collection is lost; lost collections are tried again at once.
  void on_store_contact();

  /// A call of this daemon to the store failed.
  void on_store_failure();

  /// Discards the recorded contacts, which may be older than they seem: peers
  /// are asked and the store is read as if there had been no contact.
  void invalidate();

  /// @param listener Called on the loop when this daemon should ask the store
  /// at once, and when it need no longer ask. Must be set before `start()`.
  void on_probe_due(std::function<void()> listener) {
    this->probe_listener = std::move(listener);
  }

  /// Whether a peer of the zone is expected to follow the store for this
  /// daemon.
  [[nodiscard]] bool relies_on_watcher() const;

  /// Whether updates of a peer that follows the store can be waited for:
  /// `relies_on_watcher()`, and with few probes peers can be heard, too.
  [[nodiscard]] bool can_await_watcher() const {
    return this->relies_on_watcher() &&
           !(this->few_probes && this->choice.is_isolated(Clock::now()));
  }

  /// See `SourceChoice::asks_often()`.
  [[nodiscard]] bool asks_often() const {
    return this->choice.asks_often(Clock::now());
  }

  /// Whether the store must answer a cheap read before collections are read.
  [[nodiscard]] bool is_probing() const noexcept {
    return this->choice.is_probing();
  }
  /// The feeds read the store, whether it has answered or not.
  void stop_probing() noexcept { this->choice.stop_probing(); }

  /// Whether this daemon follows the store itself.
  [[nodiscard]] bool follows_store() const noexcept {
    return this->started && this->choice.source() == Source::kStore;
  }

 private:
  void register_handlers();
  void tick();
  void start_feeds();
  /// Whether this daemon has been a watcher for long enough to read the store
  /// before the wait for peers ends.
  [[nodiscard]] bool may_read_early(TimePoint now);
  void switch_source();
  /// Reports how often this daemon asks a store that doesn't answer.
  void update_pace(TimePoint now);
  /// Whether the known state comes from peers alone.
  [[nodiscard]] bool uses_peers() const noexcept {
    return this->in_use == Source::kPeers || this->is_probing();
  }
  void relay_update(const Update& update);
  void send_heartbeat();
  void apply_message(const std::string& from, PushMessage message);
  void on_push(const std::string& from, PushMessage message);
  /// Tells the feeds since when the store has answered without interruption.
  void share_availability();
  void pull(std::string from);
  [[nodiscard]] static Task<void> run_pull(std::shared_ptr<FeedRelay> self,
                                           std::string from);
  [[nodiscard]] static Task<Result<std::string>> answer_pull(
      std::shared_ptr<FeedRelay> self,
      std::string payload);
  [[nodiscard]] KnownVersions known() const;
  /// A push with the known versions and their age, without updates.
  [[nodiscard]] PushMessage empty_push() const;
  [[nodiscard]] CollectionFeed* find(const std::string& collection) const;
  void notify_children(const PushMessage& message);

  boost::asio::io_context& loop;
  peer::PeerNetwork& network;
  eventlog::EventLog& log;
  const Feeds feeds;
  const bool few_probes;
  SourceChoice choice;
  Source in_use = Source::kStore;
  StoreAvailability availability;
  std::set<std::string> pending_pulls;  ///< By peer.
  /// When the feeds start unless peers have sent all collections before.
  TimePoint start_feeds_at;
  bool started = false;
  bool knows_others = false;
  TimePoint watcher_since = TimePoint::max();
  TimePoint next_heartbeat;
  /// Whether this daemon asks often, while it probes.
  std::optional<bool> pace;
  std::function<void()> probe_listener = [] {};
  http::Timer timer;
};

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_FEED_RELAY_H_
