#include "ibismux/feed/collection_feed.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/http/await_timer.h"

namespace ibismux::feed {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Deadline of a listing. A listing of some hundred entries takes milliseconds;
// a listing that exceeds this deadline is tried again on a new connection.
constexpr milliseconds kListTimeout{1500};
// Pause after a single failed call, of which only the answer may have been
// lost.
constexpr milliseconds kFirstPause{50};
// Pause after further failures, which mean that the store is down. The daemon's
// cheap checks detect its recovery and restart the feed.
constexpr milliseconds kMaxPause{4000};
// Pauses between reads while every watch finds its history compacted; without a
// pause this would cost two calls per round trip. The first read follows at
// once.
constexpr milliseconds kMinCompactedPause{50};
constexpr milliseconds kMaxCompactedPause{800};
// Longest pause before the first successful read. Until then every request is
// refused.
constexpr milliseconds kMaxInitialPause{200};

Update update_of(const std::string& collection, store::Listing listing) {
  Update update;
  update.collection = collection;
  update.version = listing.version;
  update.whole = true;
  for (store::StoredObject& object : listing.objects) {
    update.events.push_back({std::move(object), false});
  }
  return update;
}

Update update_of(const std::string& collection,
                 store::Version since,
                 store::WatchBatch batch) {
  Update update;
  update.collection = collection;
  update.since = since;
  update.version = batch.version;
  update.events = std::move(batch.events);
  return update;
}

store::Listing listing_of(const Update& update) {
  store::Listing listing;
  listing.version = update.version;
  for (const store::WatchBatch::Event& event : update.events) {
    listing.objects.push_back(event.object);
  }
  return listing;
}

}  // namespace

CollectionFeed::CollectionFeed(asio::io_context& loop,
                               store::ObjectStore& store,
                               std::string collection,
                               FeedSettings settings,
                               FeedObserver& observer,
                               eventlog::EventLog& log)
    : loop(loop),
      store(store),
      settings(settings),
      observer(observer),
      log(log),
      known(std::move(collection)),
      pause_timer(loop.get_executor()),
      settle_timer(loop.get_executor()) {}

void CollectionFeed::start() {
  this->restart();
}

void CollectionFeed::restart() {
  ++this->round;
  this->pending_watch = 0;
  asio::co_spawn(this->loop, run(this->shared_from_this(), this->round),
                 asio::detached);
}

void CollectionFeed::suspend() {
  ++this->round;
  this->pending_watch = 0;
}

void CollectionFeed::check_watch(TimePoint deadline) {
  // A lost collection is read again anyway, at a time that the daemon chooses.
  if (this->is_lost || this->pending_watch == 0 || this->is_checking) {
    return;
  }
  if (this->overdue_watch == this->pending_watch) {
    this->log.event(eventlog::Weight::kBelief, "watch_stalled")
        .with("collection", this->known.name())
        .with("version", store::version_text(this->known.version()));
    this->current = false;
    this->restart();
    return;
  }
  this->is_checking = true;
  asio::co_spawn(this->loop, run_check(this->shared_from_this(), deadline),
                 asio::detached);
}

Task<void> CollectionFeed::run_check(std::shared_ptr<CollectionFeed> self,
                                     TimePoint deadline) {
  const WatchNumber watch = self->pending_watch;
  // Asking from the known version would fail as soon as the store has dropped
  // the history of a collection that rarely changes.
  const store::Version since =
      std::max(self->known.version(), self->unchanged_until);
  auto changes =
      co_await self->store.stale_changes(self->known.name(), since, deadline);
  self->is_checking = false;
  if (self->pending_watch != watch) {
    co_return;
  }
  if (!changes) {
    ++self->unanswered_checks;
    co_return;
  }
  if (changes->compacted) {
    self->overdue_watch = watch;
    co_return;
  }
  self->unanswered_checks = 0;
  if (changes->events.empty()) {
    self->unchanged_until = changes->version;
    co_return;
  }
  self->overdue_watch = watch;
  self->apply(update_of(self->known.name(), self->known.version(),
                        *std::move(changes)));
}

Task<void> CollectionFeed::run(std::shared_ptr<CollectionFeed> self,
                               std::uint64_t round) {
  // Results are stored in variables because GCC 12 miscompiles a co_await in
  // the condition of a loop.
  bool is_complete = false;
  while (self->round == round) {
    if (is_complete) {
      const bool is_still_complete = co_await follow(self, round);
      is_complete = is_still_complete;
      continue;
    }
    const bool succeeded = co_await read_all(self, round);
    is_complete = succeeded;
    if (succeeded && std::exchange(self->is_first_read, false)) {
      co_await pause(self, self->settings.first_watch_delay);
      if (self->round == round) {
        const Duration longer = self->listeners.peer_wait_time();
        co_await pause(self, longer);
      }
    }
  }
}

Task<bool> CollectionFeed::read_all(std::shared_ptr<CollectionFeed> self,
                                    std::uint64_t round) {
  const bool may_be_stale = self->known.version() == 0;
  const TimePoint deadline = Clock::now() + kListTimeout;
  auto reading = may_be_stale
                     ? self->store.stale_list(self->known.name(), deadline)
                     : self->store.list(self->known.name(), deadline);
  auto listing = co_await std::move(reading);
  if (!listing) {
    co_await on_failure(self, round, std::move(listing.error()));
    co_return false;
  }
  if (may_be_stale) {
    self->failures = 0;
    self->report_regained("store, perhaps an old state");
  } else {
    self->store_answered();
  }
  if (listing->version < self->known.version()) {
    self->log.event(eventlog::Weight::kBelief, "store_listing_older")
        .with("collection", self->known.name())
        .with("version", store::version_text(self->known.version()))
        .with("listed", store::version_text(listing->version));
  }
  self->apply(update_of(self->known.name(), *std::move(listing)));
  co_return true;
}

Task<bool> CollectionFeed::follow(std::shared_ptr<CollectionFeed> self,
                                  std::uint64_t round) {
  const store::Version since = self->known.version();
  // The store answers a watch at once if it holds anything newer.
  self->current = true;
  const WatchNumber watch = ++self->last_watch;
  self->pending_watch = watch;
  auto batch = co_await self->store.watch(self->known.name(), since,
                                          self->settings.watch_wait);
  if (self->pending_watch == watch) {
    self->pending_watch = 0;
  }
  if (!batch) {
    co_await on_failure(self, round, std::move(batch.error()));
    // Read the complete collection instead of resuming the watch at its
    // version. A store that closed its watches because it dropped their history
    // may accept the same watch again without sending the dropped changes, and
    // report the gap only at the next change. Until then, for seconds, the
    // daemon would use an outdated state.
    co_return false;
  }
  self->store_answered();
  if (batch->compacted && self->round != round) {
    // The later round has read the collection, or is about to.
    co_return false;
  }
  if (batch->compacted) {
    self->log.event(eventlog::Weight::kBelief, "store_history_gone")
        .with("collection", self->known.name())
        .with("version", store::version_text(since));
    const Duration time = self->compacted_pause;
    self->compacted_pause =
        std::clamp<Duration>(time * 2, kMinCompactedPause, kMaxCompactedPause);
    co_await pause(self, time);
    co_return false;
  }
  self->compacted_pause = Duration::zero();
  const bool changed = !batch->events.empty();
  self->apply(update_of(self->known.name(), since, *std::move(batch)));
  if (changed) {
    co_await pause(self, self->settings.change_pause);
  }
  co_return true;
}

Task<void> CollectionFeed::on_failure(std::shared_ptr<CollectionFeed> self,
                                      std::uint64_t round,
                                      Error error) {
  if (self->round != round) {
    co_return;
  }
  self->listeners.on_store_failure();
  self->report_lost(error.message);
  co_await pause(self, self->next_pause(error));
}

Task<void> CollectionFeed::pause(std::shared_ptr<CollectionFeed> self,
                                 Duration time) {
  self->pause_timer.expires_after(time);
  co_await self->pause_timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void CollectionFeed::apply(Update update) {
  const store::Version before = this->known.version();
  const auto applied = this->known.apply(std::move(update), Clock::now());
  if (!applied) {
    return;
  }
  if (before != 0 && store::era_of(applied->version) > store::era_of(before)) {
    this->log.event(eventlog::Weight::kBelief, "store_restored")
        .with("collection", this->known.name())
        .with("version", store::version_text(applied->version))
        .with("before", store::version_text(before))
        .with("changes", applied->events.size());
  }
  this->schedule_settlement();
  if (applied->whole) {
    this->observer.on_listing(listing_of(*applied));
  } else {
    for (const store::WatchBatch::Event& event : applied->events) {
      this->observer.on_change(event);
    }
  }
  this->listeners.on_update(*applied);
}

void CollectionFeed::schedule_settlement() {
  const auto when = this->known.settles_at();
  if (!when) {
    return;
  }
  this->settle_timer.expires_at(*when);
  http::await_timer(this->settle_timer, this->weak_from_this(),
                    &CollectionFeed::settle);
}

void CollectionFeed::settle() {
  const auto events = this->known.settle();
  this->log.event(eventlog::Weight::kBelief, "store_restore_settled")
      .with("collection", this->known.name())
      .with("version", store::version_text(this->known.version()))
      .with("lost", events.size());
  for (const store::WatchBatch::Event& event : events) {
    this->observer.on_change(event);
  }
}

void CollectionFeed::retry_now() {
  if (this->is_lost) {
    this->pause_timer.cancel();
  }
}

void CollectionFeed::store_answered() {
  this->failures = 0;
  this->unanswered_checks = 0;
  this->current = true;
  this->report_regained("store");
  this->listeners.on_store_contact();
}

void CollectionFeed::report_lost(std::string_view reason) {
  if (std::exchange(this->is_lost, true)) {
    return;
  }
  this->log.event(eventlog::Weight::kBelief, "store_lost")
      .with("collection", this->known.name())
      .with("version", store::version_text(this->known.version()))
      .with("reason", reason);
  this->observer.on_lost();
}

void CollectionFeed::report_regained(std::string_view reason) {
  if (!std::exchange(this->is_lost, false)) {
    return;
  }
  this->log.event(eventlog::Weight::kBelief, "store_regained")
      .with("collection", this->known.name())
      .with("version", store::version_text(this->known.version()))
      .with("by", reason);
  this->observer.on_regained();
}

Duration CollectionFeed::next_pause(const Error& error) {
  this->log.event(eventlog::Weight::kBelief, "store_call_failed")
      .with("collection", this->known.name())
      .with("version", store::version_text(this->known.version()))
      .with("failures", this->failures)
      .with("kind", error_entry(error.kind).name)
      .with("message", error.message);
  const Duration longest =
      this->known.version() == 0 ? kMaxInitialPause : kMaxPause;
  const Duration time = this->failures == 0 ? kFirstPause : longest;
  ++this->failures;
  return error.retry_after
             ? std::clamp<Duration>(*error.retry_after, time, longest)
             : time;
}

}  // namespace ibismux::feed
