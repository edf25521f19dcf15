#ifndef IBISMUX_FEED_FEED_RELAY_H_
#define IBISMUX_FEED_FEED_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/feed/messages.h"
#include "ibismux/feed/source_choice.h"
#include "ibismux/feed/store_contact.h"
#include "ibismux/http/socket.h"
#include "ibismux/membership/forward.h"
#include "ibismux/peer/peer_network.h"

namespace ibismux::feed {

class CollectionFeed;

/// Passes updates from the store on between daemons, and switches this daemon's
/// feeds between the store and its peers.
///
/// Belongs to one event loop, which is also the network's; not thread safe.
class FeedRelay : public std::enable_shared_from_this<FeedRelay> {
 public:
  using Feeds = std::vector<std::shared_ptr<CollectionFeed>>;

  /// Precondition: neither the network nor the feeds have started. `loop`,
  /// `network` and `log` outlive this.
  FeedRelay(boost::asio::io_context& loop,
            peer::PeerNetwork& network,
            SourceSettings settings,
            Feeds feeds,
            eventlog::EventLog& log);

  /// Registers handlers and listeners, and begins. Called once, before the
  /// network starts.
  /// @param patience How long peers may bring all that is to be known before
  /// this daemon reads the store itself.
  void start(Duration patience);

  /// The members have changed.
  void on_view(const membership::MembershipView& view);

  /// The store answered this daemon. It counts as a contact where no collection
  /// is lost; one that is lost is tried again at once.
  void on_store_contact();

  /// A call of this daemon to the store failed.
  void on_store_failure();

  /// Contacts may be older than they seem: peers are asked, and the store is
  /// read, as if there had been none.
  void invalidate();

  /// Whether some peer of the zone is to follow the store for this daemon.
  [[nodiscard]] bool relies_on_watcher() const;

  /// Whether this daemon follows the store itself.
  [[nodiscard]] bool follows_store() const noexcept {
    return this->started && this->choice.source() == Source::kStore;
  }

 private:
  void register_handlers();
  void tick();
  void start_feeds();
  /// Whether this daemon has been a watcher long enough to read the store
  /// before its patience ends.
  [[nodiscard]] bool watches_early(TimePoint now);
  void switch_source();
  void pass_on(const Update& update);
  void send_beat();
  void take(const std::string& from, PushMessage message);
  void on_push(const std::string& from, PushMessage message);
  /// The feeds learn since when the store has answered without a break.
  void share_contact();
  void pull(std::string from);
  [[nodiscard]] static Task<void> run_pull(std::shared_ptr<FeedRelay> self,
                                           std::string from);
  [[nodiscard]] static Task<Result<std::string>> answer_pull(
      std::shared_ptr<FeedRelay> self,
      std::string payload);
  [[nodiscard]] KnownVersions known() const;
  /// What is known here and how old it is, without updates.
  [[nodiscard]] PushMessage empty_push() const;
  [[nodiscard]] CollectionFeed* find(const std::string& collection) const;
  void notify_children(const PushMessage& message);

  boost::asio::io_context& loop;
  peer::PeerNetwork& network;
  eventlog::EventLog& log;
  const Feeds feeds;
  SourceChoice choice;
  Source in_use = Source::kStore;
  StoreContact contact;
  std::set<std::string> asked;  ///< Peers that have not answered yet.
  TimePoint read_at;  ///< When the feeds start, unless peers bring all before.
  bool started = false;
  bool joined = false;  ///< Others have been met.
  TimePoint watcher_since = TimePoint::max();
  TimePoint next_beat;
  http::Timer timer;
};

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_FEED_RELAY_H_
