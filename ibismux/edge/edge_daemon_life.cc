#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <utility>

#include "ibismux/checkpoint/checkpoint_writer.h"
#include "ibismux/edge/contact_slots.h"
#include "ibismux/edge/edge_daemon_impl.h"
#include "ibismux/edge/package_settings.h"
#include "ibismux/quarantine/quarantine_writer.h"

namespace ibismux::edge {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Interval of checks during a shutdown for whether all requests are answered.
constexpr milliseconds kDrainPollInterval{20};
// Number of ticks between checks for a changed settings file without a signal.
constexpr std::uint64_t kTicksPerSettingsCheck = 8;
// Number of ticks between log summaries of the requests that were sent to
// leafs: 360 lines an hour.
constexpr std::uint64_t kTicksPerSummary = 20;
// Timeout of the read that checks the store; the store usually answers within
// milliseconds.
constexpr milliseconds kStoreCheckTimeout{800};
// Delay of the first watch, in which the daemon joins its peers and they may
// offer to forward updates.
constexpr milliseconds kFirstWatchDelay{1500};
// Subtracted from the time that a shutdown may take: the requests that are
// still in flight then get an answer.
constexpr milliseconds kAnswerMargin{400};
// How long callers have to take these answers. The rest of the margin is left
// for the exit, before the platform kills the process.
constexpr milliseconds kAnswerTime{300};

/// Whether the daemon knows other members and is the first of them.
bool is_first(const membership::MembershipView& view) {
  return view.joined && view.serving() > 1 && slot_of(view) == 0;
}

}  // namespace

std::shared_ptr<feed::CollectionFeed> EdgeDaemon::Impl::make_feed(
    const std::string& collection,
    feed::FeedObserver& observer) {
  feed::FeedSettings times;
  times.watch_wait = this->settings.watch_wait;
  times.change_pause = this->settings.change_pause;
  times.first_watch_delay = this->fleet ? kFirstWatchDelay : milliseconds(0);
  return std::make_shared<feed::CollectionFeed>(
      this->loop(), this->store, collection, times, observer, this->log);
}

void EdgeDaemon::Impl::retry_feeds() {
  for (const auto& feed : this->feeds) {
    feed->retry_now();
  }
}

void EdgeDaemon::Impl::start_feeds() {
  this->configuration_feed = this->make_feed(
      this->adapters.configuration_collection, this->configuration);
  this->leaf_feed =
      this->make_feed(this->adapters.leaf_collection, this->leafs);
  this->feeds = {
      this->configuration_feed, this->leaf_feed,
      this->make_feed(this->adapters.evacuation_collection, this->evacuations),
      this->make_feed(this->adapters.quarantine_collection, this->quarantine)};
  std::make_shared<quarantine::QuarantineWriter>(
      this->loop(), this->store, this->adapters.quarantine_collection,
      this->dispatcher.quarantine(), this->log, random_number())
      ->start();
  this->start_rates();
  if (this->settings.leaf_checkpoint) {
    this->start_checkpoint();
  }
  if (!this->fleet) {
    for (const auto& feed : this->feeds) {
      feed->start();
    }
    return;
  }
  feed::SourceSettings source;
  source.watchers = this->settings.watchers;
  source.few_probes = this->settings.few_probes;
  this->relay = std::make_shared<feed::FeedRelay>(
      this->loop(), this->fleet->network(), source, this->feeds, this->log);
  this->reports = std::make_shared<reports::ReportExchange>(
      this->loop(), this->fleet->network(), this->dispatcher, this->log);
  this->reports->start();
  this->start_gathering();
  this->relay->on_probe_due([this] { this->check_timer.cancel(); });
  const bool lazy = this->settings.first_start;
  this->relay->start(lazy ? first_start_read_delay() : Duration::zero());
}

void EdgeDaemon::Impl::start_checkpoint() {
  const TimePoint started = Clock::now();
  this->recovery = std::make_shared<LeafRecovery>(
      this->loop(), this->store, this->adapters.checkpoint_collection,
      this->directory, this->leafs,
      [this](bool expected) { this->dispatcher.expect_leafs(expected); },
      this->log, started);
  const auto state = [this]() -> checkpoint::CheckpointSchedule::State {
    return {.is_writer = !this->fleet || is_first(*this->fleet->members()),
            .is_complete =
                this->leafs.is_listed() && this->directory.is_complete()};
  };
  std::make_shared<checkpoint::CheckpointWriter>(
      this->loop(), this->store, this->adapters.checkpoint_collection,
      checkpoint::CheckpointWriter::Sources{
          state, [this] { return this->directory.revision(); },
          [this] { return running_leafs(this->directory); }},
      this->log, started)
      ->start();
}

void EdgeDaemon::Impl::recover_leafs() {
  if (this->recovery && this->dispatcher.table() && this->leafs.is_listed()) {
    this->recovery->start(*this->dispatcher.table());
  }
}

void EdgeDaemon::Impl::start_gathering() {
  this->gather_client = std::make_shared<gather::GatherClient>(
      this->loop(), this->fleet->network(), this->log, random_number());
  this->gather_client->start();
  this->dispatcher.set_delegate(*this->gather_client);
  this->gather_host = std::make_shared<gather::GatherHost>(
      this->loop(), this->fleet->network(), this->dispatcher, this->log,
      this->settings.gather_overflow);
  this->gather_host->start();
}

void EdgeDaemon::Impl::start_rates() {
  this->rates = std::make_shared<customers::RateLimiter>(
      this->fleet ? &this->fleet->network() : nullptr,
      rate_settings(this->settings), this->registry, this->log);
  if (this->settings.hold_at_start) {
    this->rates->set_start_waiters(this->start_waiters);
  }
  this->rates->start();
  this->dispatcher.set_rates(*this->rates);
}

void EdgeDaemon::Impl::update_rate_owners() {
  const auto& table = this->dispatcher.table();
  if (this->fleet && this->rates && table && table->customers()) {
    this->rates->on_view(*this->fleet->members(),
                         this->fleet->size(Clock::now()).sharers.hosts);
  }
}

std::size_t EdgeDaemon::Impl::in_flight() const {
  return this->callers.in_flight() +
         (this->gather_host ? this->gather_host->in_flight() : 0);
}

void EdgeDaemon::Impl::on_view(const membership::MembershipView& view,
                               const gather::GatherRoles& roles) {
  this->log.event(eventlog::Weight::kBelief, "members")
      .with("serving", view.serving())
      .with("joined", view.joined);
  this->relay->on_view(view);
  this->reports->on_view(view);
  this->gather_client->on_roles(roles);
  this->gather_host->on_roles(roles);
  this->update_rate_owners();
}

void EdgeDaemon::Impl::apply_fleet_size() {
  if (!this->fleet) {
    return;
  }
  FleetSize size = this->fleet->size(Clock::now());
  if (size.known) {
    this->store.set_members(size.sharers.hosts);
    this->dispatcher.set_fleet(std::move(size.sharers));
  }
}

Task<void> EdgeDaemon::Impl::check_store() {
  std::optional<feed::OutageProbes> probes;
  if (this->settings.few_probes) {
    probes.emplace(random_number());
  }
  StoreCheck check(probes);
  for (;;) {
    this->check_timer.expires_after(
        check.interval(this->settings.check_interval));
    co_await this->check_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (this->relay && !this->relay->follows_store()) {
      check.on_peer_updates();
      continue;
    }
    auto object = co_await this->store.stale_get(
        this->adapters.configuration_collection,
        this->adapters.configuration_name, Clock::now() + kStoreCheckTimeout);
    if (this->settings.few_probes && this->relay &&
        !this->relay->follows_store()) {
      // Peers have sent updates meanwhile.
      check.on_peer_updates();
      continue;
    }
    const bool is_missing =
        !object && object.error().kind == ErrorKind::kNotFound;
    if (object || (is_missing && this->relay && this->relay->is_probing())) {
      const store::Version version = object ? object->version : 0;
      this->act_on(check.on_answer(this->compare(version), Clock::now()));
      // The configuration's version tells nothing about other collections.
      for (const auto& feed : this->feeds) {
        if (feed != this->configuration_feed) {
          feed->check_watch(Clock::now() + kStoreCheckTimeout);
        }
      }
    } else if (!is_missing) {
      check.on_failure(!this->relay || this->relay->asks_often());
      this->report_store_lost(object.error().message);
    }
  }
}

StoreCheck::Answer EdgeDaemon::Impl::compare(
    store::Version configuration) const {
  const auto& all = this->feeds;
  return {
      .any_lost = std::any_of(all.begin(), all.end(),
                              [](const auto& feed) { return feed->lost(); }),
      .all_current =
          std::all_of(all.begin(), all.end(),
                      [](const auto& feed) { return feed->is_current(); }),
      .is_restored =
          store::era_of(configuration) >
          store::era_of(this->configuration_feed->mirror().version()),
      .is_behind = configuration > this->configuration_feed->mirror().version(),
      .has_watcher = this->relay && this->relay->can_await_watcher(),
      .is_probing = this->relay && this->relay->is_probing()};
}

void EdgeDaemon::Impl::act_on(CheckAction action) {
  switch (action) {
    case CheckAction::kNone:
      return;
    case CheckAction::kContact:
      if (this->relay) {
        this->relay->on_store_contact();
      }
      return;
    case CheckAction::kReadAgain:
      this->refresh("store is back");
      return;
    case CheckAction::kReplaceWatch:
      this->refresh("the watch stalled");
      return;
  }
}

void EdgeDaemon::Impl::report_store_lost(std::string_view reason) {
  // A daemon that probes still uses what its peers send, and its relay reports
  // when their contacts are too old.
  const bool uses_peers = this->relay && this->relay->is_probing();
  for (const auto& feed : this->feeds) {
    if (!uses_peers) {
      feed->report_lost(reason);
    }
  }
  if (this->relay) {
    this->relay->on_store_failure();
  }
}

void EdgeDaemon::Impl::refresh(std::string_view reason) {
  this->log.event(eventlog::Weight::kBelief, "refresh")
      .with("reason", reason)
      .with("configuration_version",
            store::version_text(this->configuration_feed->mirror().version()))
      .with("leaf_version",
            store::version_text(this->leaf_feed->mirror().version()));
  if (this->relay && !this->relay->follows_store()) {
    this->relay->invalidate();
    return;
  }
  if (this->relay) {
    this->relay->stop_probing();
  }
  for (const auto& feed : this->feeds) {
    feed->restart();
  }
}

void EdgeDaemon::Impl::tick() {
  this->ticker.expires_after(kTick);
  this->ticker.async_wait([this](const boost::system::error_code& error) {
    // cancel() doesn't reach a wait that had expired before the signal.
    if (error || this->stopping) {
      return;
    }
    const Duration stall =
        this->stalls.tick(Clock::now(), StallDetector::boot_time());
    if (stall > Duration::zero()) {
      this->log.event(eventlog::Weight::kBelief, "stalled")
          .with("for_ms", stall);
      this->refresh("the host stalled");
    }
    this->apply_fleet_size();
    if (++this->ticks % kTicksPerSettingsCheck == 0) {
      this->reload_settings(false);
    }
    if (this->ticks % kTicksPerSummary == 0) {
      this->dispatcher.log_sends();
      this->update_rate_owners();
      this->rates->log_usage();
    }
    this->tick();
  });
}

void EdgeDaemon::Impl::await_signal() {
  this->signals.add(SIGTERM);
  this->signals.add(SIGINT);
  this->signals.add(SIGHUP);
  this->signals.async_wait(
      [this](const boost::system::error_code& error, int number) {
        if (error) {
          return;
        }
        if (number != SIGHUP) {
          this->drain();
          return;
        }
        this->reload_settings(true);
        this->await_signal();
      });
}

void EdgeDaemon::Impl::reload_settings(bool forced) {
  const auto fresh = this->reload(forced);
  if (!fresh) {
    if (forced) {
      this->log.event(eventlog::Weight::kBelief, "reload")
          .with("done", false)
          .with("reason", "the settings are wrong; standard error says where");
    }
    return;
  }
  const bool needs_start =
      fresh->caller_endpoint != this->settings.caller_endpoint ||
      fresh->ready_endpoint != this->settings.ready_endpoint ||
      fresh->metrics_endpoint != this->settings.metrics_endpoint ||
      fresh->peer_endpoint != this->settings.peer_endpoint ||
      fresh->store_endpoint != this->settings.store_endpoint;
  this->settings.repeat_ratio = fresh->repeat_ratio;
  this->settings.repeat_slack = fresh->repeat_slack;
  this->settings.remote_cost = fresh->remote_cost;
  this->settings.stop_limit = fresh->stop_limit;
  this->settings.leave_notice = fresh->leave_notice;
  this->settings.zone_regions = fresh->zone_regions;
  this->dispatcher.update_settings(dispatch_settings(this->settings));
  this->limits.drain_grace = this->settings.leave_notice;
  this->callers.set_limits(this->limits);
  this->log.event(eventlog::Weight::kBelief, "reload")
      .with("done", true)
      .with("repeat_ratio", this->settings.repeat_ratio)
      .with("repeat_slack", this->settings.repeat_slack)
      .with("endpoints_need_a_start", needs_start);
}

void EdgeDaemon::Impl::drain() {
  this->stopping = true;
  const Duration limit = std::max<Duration>(
      this->settings.stop_limit - kAnswerMargin, Duration::zero());
  this->answer_deadline = Clock::now() + limit;
  this->log.event(eventlog::Weight::kBelief, "drain")
      .with("in_flight", this->in_flight())
      .with("connections", this->callers.connections())
      .with("limit_ms", limit);
  if (this->fleet) {
    this->fleet->announce_leaving();
    this->gather_host->drain();
  }
  this->callers.drain();
  this->ticker.cancel();
  this->await_idle();
}

void EdgeDaemon::Impl::cancel_requests() {
  // From now, also if the event loop is late: callers need time to take them.
  this->stop_deadline = Clock::now() + kAnswerTime;
  this->log_open_requests("stop_limit");
  // Before waits end, so that no request is sent that would be cancelled.
  this->callers.cancel_requests();
  this->start_waiters.close();
  this->rates->stop_waiting();
  if (this->gather_host) {
    this->gather_host->cancel_queries();
  }
}

void EdgeDaemon::Impl::await_idle() {
  const TimePoint now = Clock::now();
  if (this->in_flight() == 0 || now >= this->stop_deadline) {
    this->loop().stop();
    return;
  }
  if (now >= this->answer_deadline && this->stop_deadline == TimePoint::max()) {
    this->cancel_requests();
  }
  this->stop_timer.expires_after(kDrainPollInterval);
  this->stop_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->await_idle();
    }
  });
}

}  // namespace ibismux::edge
