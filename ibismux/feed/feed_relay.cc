#include "ibismux/feed/feed_relay.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/feed/collection_feed.h"
#include "ibismux/http/await_timer.h"
#include "ibismux/membership/membership_view.h"

namespace ibismux::feed {

namespace {

namespace asio = boost::asio;
using peer::MessageKind;
using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{250};
// How long a daemon that has a watcher in its zone waits after its start for
// that watcher's updates before it starts to watch the store itself.
constexpr milliseconds kWatcherWait{1800};
// How long a daemon must have been a watcher before it reads the store early.
// While a fleet starts, many daemons know few others yet and consider
// themselves the first of their zone. This is longer than membership views take
// to spread.
constexpr milliseconds kWatcherStabilityTime{1500};
// How often a daemon sends its children the age of its last store contact.
constexpr milliseconds kHeartbeatInterval{500};
// Timeout of a pull. A complete collection may take this long over a slow link.
constexpr milliseconds kPullTimeout{1000};
// If the last contact is older than this, the store counts as lost, as in an
// outage.
constexpr milliseconds kMaxContactAge{2000};
// Number of concurrent pulls. An unreachable peer delays its pull by
// `kPullTimeout`, and pulls from other peers must not wait for it.
constexpr std::size_t kMaxPendingPulls = 3;

}  // namespace

FeedRelay::FeedRelay(asio::io_context& loop,
                     peer::PeerNetwork& network,
                     SourceSettings settings,
                     Feeds feeds,
                     eventlog::EventLog& log)
    : loop(loop),
      network(network),
      log(log),
      feeds(std::move(feeds)),
      few_probes(settings.few_probes),
      choice(settings, Clock::now()),
      availability(Clock::now()),
      next_heartbeat(Clock::now()),
      timer(loop.get_executor()) {}

void FeedRelay::start(Duration max_peer_wait) {
  this->start_feeds_at = Clock::now() + max_peer_wait;
  this->register_handlers();
  const std::weak_ptr<FeedRelay> weak = this->weak_from_this();
  for (const auto& feed : this->feeds) {
    feed->set_listeners({.on_update =
                             [weak](const Update& update) {
                               if (const auto self = weak.lock()) {
                                 self->relay_update(update);
                               }
                             },
                         .on_store_contact =
                             [weak] {
                               if (const auto self = weak.lock()) {
                                 self->on_store_contact();
                               }
                             },
                         .on_store_failure =
                             [weak] {
                               if (const auto self = weak.lock()) {
                                 self->on_store_failure();
                               }
                             },
                         .peer_wait_time = [weak]() -> Duration {
                           const auto self = weak.lock();
                           return self && self->relies_on_watcher()
                                      ? kWatcherWait
                                      : milliseconds(0);
                         }});
  }
  this->tick();
}

void FeedRelay::register_handlers() {
  const std::weak_ptr<FeedRelay> weak = this->weak_from_this();
  this->network.on_notify(
      MessageKind::kFeedPush,
      [weak](const Incarnation& from, const std::string& payload) {
        const auto self = weak.lock();
        auto message = decode_push(payload);
        if (self && message) {
          self->on_push(from.member, *std::move(message));
        } else if (self) {
          self->log.event(eventlog::Weight::kBelief, "feed_push_refused")
              .with("from", from.member)
              .with("reason", message.error().message);
        }
      });
  this->network.on_request(
      MessageKind::kFeedPull,
      [weak](const Incarnation&,
             std::string payload) -> Task<Result<std::string>> {
        return answer_pull(weak.lock(), std::move(payload));
      });
}

void FeedRelay::on_view(const membership::MembershipView& view) {
  this->knows_others = view.joined && view.serving() > 1;
  this->choice.on_view(view);
}

void FeedRelay::on_store_contact() {
  // An answer for one collection says nothing about another collection whose
  // last calls failed and which may be out of date. If the answer counted as a
  // contact, peers would rely on an old configuration for as long as the other
  // collection's watch continues: when the store rejects a part of the hosts,
  // some of them would still refuse routes five seconds after their addition.
  bool all_current = true;
  for (const auto& feed : this->feeds) {
    all_current = all_current && !feed->lost() && feed->is_confirmed();
    if (feed->lost()) {
      feed->retry_now();
    }
  }
  if (!all_current) {
    return;
  }
  const TimePoint now = Clock::now();
  this->choice.on_store_contact(now);
  this->availability.on_answer(now);
  this->share_availability();
}

void FeedRelay::on_store_failure() {
  this->availability.on_interruption(Clock::now());
}

void FeedRelay::share_availability() {
  for (const auto& feed : this->feeds) {
    feed->report_available_since(this->availability.available_since());
  }
}

bool FeedRelay::relies_on_watcher() const {
  return this->knows_others && !this->choice.is_watcher();
}

void FeedRelay::invalidate() {
  const TimePoint now = Clock::now();
  this->choice.invalidate(now);
  this->availability.on_interruption(now);
}

void FeedRelay::tick() {
  const TimePoint now = Clock::now();
  if (const auto peer_to_ask = this->choice.tick(now)) {
    this->pull(*peer_to_ask);
  }
  if (!this->started) {
    this->stop_probing();
  }
  this->start_feeds();
  this->switch_source();
  this->update_pace(now);
  if (this->uses_peers() && this->choice.age(now) > kMaxContactAge) {
    for (const auto& feed : this->feeds) {
      feed->report_lost("no fresh contact by peers");
    }
  }
  if (now >= this->next_heartbeat) {
    this->next_heartbeat = now + kHeartbeatInterval;
    this->send_heartbeat();
  }
  this->timer.expires_after(kTickInterval);
  http::await_timer(this->timer, this->weak_from_this(), &FeedRelay::tick);
}

void FeedRelay::start_feeds() {
  if (this->started) {
    return;
  }
  const TimePoint now = Clock::now();
  const bool all_known = std::all_of(
      this->feeds.begin(), this->feeds.end(),
      [](const auto& feed) { return feed->mirror().version() > 0; });
  if (all_known && this->choice.source() == Source::kPeers) {
    // Peers have sent all collections, so nothing has to be read. Otherwise
    // each of hundreds of daemons that start together would call the store.
    this->started = true;
    this->in_use = Source::kPeers;
    return;
  }
  if (now < this->start_feeds_at && !this->may_read_early(now)) {
    return;
  }
  this->started = true;
  for (const auto& feed : this->feeds) {
    feed->start();
  }
}

bool FeedRelay::may_read_early(TimePoint now) {
  if (!this->knows_others || !this->choice.is_watcher()) {
    this->watcher_since = TimePoint::max();
  } else if (this->watcher_since == TimePoint::max()) {
    this->watcher_since = now;
  }
  return now - std::min(now, this->watcher_since) >= kWatcherStabilityTime;
}

void FeedRelay::switch_source() {
  const Source wanted = this->choice.source();
  if (std::exchange(this->in_use, wanted) == wanted) {
    return;
  }
  this->log.event(eventlog::Weight::kBelief, "feed_source")
      .with("source", wanted == Source::kStore ? "store" : "peers")
      .with("age_ms", this->choice.age(Clock::now()))
      .with("watcher", this->choice.is_watcher());
  for (const auto& feed : this->feeds) {
    if (wanted == Source::kPeers) {
      feed->suspend();
    } else if (!this->is_probing()) {
      feed->restart();
    }
  }
}

void FeedRelay::update_pace(TimePoint now) {
  const std::optional<bool> often =
      this->is_probing() ? std::optional(this->choice.asks_often(now))
                         : std::nullopt;
  const auto before = std::exchange(this->pace, often);
  if (before == often) {
    return;
  }
  if (often) {
    this->log.event(eventlog::Weight::kBelief, "store_probe")
        .with("pace", *often ? "often" : "seldom")
        .with("age_ms", this->choice.age(now));
  }
  if (!before || often.value_or(!this->follows_store())) {
    this->probe_listener();
  }
}

KnownVersions FeedRelay::known() const {
  KnownVersions known;
  for (const auto& feed : this->feeds) {
    known[feed->mirror().name()] = feed->mirror().version();
  }
  return known;
}

PushMessage FeedRelay::empty_push() const {
  PushMessage message;
  const TimePoint now = Clock::now();
  message.age = this->choice.age(now);
  message.available_for = now - this->availability.available_since();
  message.known = this->known();
  return message;
}

CollectionFeed* FeedRelay::find(const std::string& collection) const {
  const auto found = std::find_if(
      this->feeds.begin(), this->feeds.end(),
      [&](const auto& feed) { return feed->mirror().name() == collection; });
  return found == this->feeds.end() ? nullptr : found->get();
}

void FeedRelay::notify_children(const PushMessage& message) {
  if (this->choice.children().empty()) {
    return;
  }
  const std::string payload = encode(message);
  for (const std::string& child : this->choice.children()) {
    this->network.notify(child, MessageKind::kFeedPush, payload);
  }
}

void FeedRelay::relay_update(const Update& update) {
  PushMessage message = this->empty_push();
  // A listing is large and most children already have its content; the others
  // pull it.
  if (!update.whole) {
    message.updates.push_back(update);
  }
  this->notify_children(message);
}

void FeedRelay::send_heartbeat() {
  this->notify_children(this->empty_push());
}

void FeedRelay::on_push(const std::string& from, PushMessage message) {
  this->choice.on_push(message.age, Clock::now());
  this->apply_message(from, std::move(message));
}

void FeedRelay::apply_message(const std::string& from, PushMessage message) {
  const TimePoint now = Clock::now();
  this->availability.on_peer(message.age, message.available_for, now);
  if (this->uses_peers() && message.age < kMaxContactAge) {
    // Reported before the updates are applied, because an entry that is missing
    // from them may have expired while nobody reached the store, although its
    // leaf is running.
    for (const auto& feed : this->feeds) {
      feed->report_regained("peers");
    }
  }
  this->share_availability();
  for (Update& update : message.updates) {
    if (CollectionFeed* feed = this->find(update.collection)) {
      feed->apply(std::move(update));
    }
  }
  const bool lacks_updates = std::any_of(
      message.known.begin(), message.known.end(), [this](const auto& row) {
        const CollectionFeed* feed = this->find(row.first);
        return feed && feed->mirror().version() < row.second;
      });
  if (lacks_updates) {
    // A peer's recent contact doesn't confirm the state of this daemon while it
    // lacks the peer's updates. If it counted, this daemon would use an old
    // configuration for as long as its pulls fail.
    this->pull(from);
  } else {
    this->choice.on_peer_contact(message.age, now);
  }
}

void FeedRelay::pull(std::string from) {
  if (this->pending_pulls.size() >= kMaxPendingPulls ||
      !this->pending_pulls.insert(from).second) {
    return;
  }
  asio::co_spawn(this->loop,
                 run_pull(this->shared_from_this(), std::move(from)),
                 asio::detached);
}

Task<void> FeedRelay::run_pull(std::shared_ptr<FeedRelay> self,
                               std::string from) {
  std::string payload = encode(PullMessage{self->known()});
  std::string target = from;
  auto response = co_await self->network.request(
      std::move(target), MessageKind::kFeedPull, std::move(payload),
      Clock::now() + kPullTimeout);
  self->pending_pulls.erase(from);
  if (!response) {
    self->choice.on_no_answer(from);
    self->log.event(eventlog::Weight::kBelief, "feed_pull_failed")
        .with("from", from)
        .with("reason", response.error().message);
    co_return;
  }
  auto message = decode_push(*response);
  if (!message) {
    self->log.event(eventlog::Weight::kBelief, "feed_pull_refused")
        .with("from", from)
        .with("reason", message.error().message);
    co_return;
  }
  self->choice.on_answer(from, message->age);
  self->apply_message(from, *std::move(message));
}

Task<Result<std::string>> FeedRelay::answer_pull(
    std::shared_ptr<FeedRelay> self,
    std::string payload) {
  if (!self) {
    co_return fail(ErrorKind::kNotReady, "no feeds here");
  }
  const auto question = decode_pull(payload);
  if (!question) {
    co_return tl::unexpected(question.error());
  }
  PushMessage answer = self->empty_push();
  for (const auto& feed : self->feeds) {
    const auto theirs = question->have.find(feed->mirror().name());
    const store::Version have =
        theirs == question->have.end() ? 0 : theirs->second;
    if (feed->mirror().version() > have) {
      answer.updates.push_back(feed->mirror().since(have));
    }
  }
  co_return encode(answer);
}

}  // namespace ibismux::feed
