#include "ibismux/edge/edge_daemon.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <iterator>
#include <utility>

#include "ibismux/base/io_pool.h"
#include "ibismux/directory/leaf_directory.h"
#include "ibismux/dispatch/dispatcher.h"
#include "ibismux/edge/configuration_feed.h"
#include "ibismux/edge/contact_slots.h"
#include "ibismux/edge/endpoint.h"
#include "ibismux/edge/fleet.h"
#include "ibismux/edge/leaf_feed.h"
#include "ibismux/edge/package_settings.h"
#include "ibismux/edge/stall_detector.h"
#include "ibismux/eventlog/event_log.h"
#include "ibismux/feed/collection_feed.h"
#include "ibismux/feed/feed_relay.h"
#include "ibismux/http/server.h"
#include "ibismux/store/http_object_store.h"

namespace ibismux::edge {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// How often the daemon looks whether it stood still, and after SIGTERM whether
// all requests are answered.
constexpr milliseconds kTick{500};
constexpr milliseconds kStopTick{20};
// How often it looks whether the settings file has changed without a signal.
constexpr std::uint64_t kTicksPerLook = 8;
// What a cheap read of the store may take; the store answers in milliseconds.
constexpr milliseconds kCheckTime{800};
// How long peers may offer to bring the news before the first watch: time to
// meet them.
constexpr milliseconds kFirstWatchPause{1500};
// Before the platform ends the process: time to answer what is late anyway.
constexpr milliseconds kStopMargin{400};
http::Response text_response(int status, std::string text) {
  http::Response response;
  response.status = status;
  response.add("Content-Type", "text/plain; charset=utf-8");
  response.body = std::move(text);
  return response;
}

}  // namespace

class EdgeDaemon::Impl {
 public:
  Impl(EdgeSettings settings, Adapters adapters, Reload reload)
      : settings(std::move(settings)),
        adapters(std::move(adapters)),
        reload(std::move(reload)),
        pool(1),
        log(pool.at(0), log_settings(this->settings)),
        store(pool,
              store_settings(this->settings),
              std::move(this->adapters.store_dialect),
              registry,
              draw()),
        dispatcher(pool.at(0),
                   *this->adapters.leaf_connector,
                   dispatch_settings(this->settings),
                   registry,
                   log),
        directory(dispatcher),
        configuration(
            this->adapters.configuration_name,
            *this->adapters.configuration,
            log,
            [this](auto table) { this->take(std::move(table)); },
            [this] { this->leaf_feed->retry_now(); }),
        leafs(pool.at(0),
              directory,
              *this->adapters.leaf_entries,
              log,
              [this] { this->configuration_feed->retry_now(); }),
        callers(pool, server_limits(), this->caller_handler()),
        balancer(pool, {}, this->ready_handler()),
        metrics(pool, {}, this->metrics_handler()),
        signals(pool.at(0)),
        ticker(pool.at(0).get_executor()),
        stalls(kTick, Clock::now(), StallDetector::boot_time()) {
    if (!this->settings.peer_endpoint.empty()) {
      this->fleet.emplace(this->pool, this->store, this->registry,
                          fleet_settings(this->settings),
                          [this](const membership::MembershipView& view) {
                            this->on_view(view);
                          });
    }
  }

  [[nodiscard]] Result<void> run() {
    std::signal(SIGPIPE, SIG_IGN);
    if (auto listening = this->listen(); !listening) {
      return listening;
    }
    this->start_feeds();
    if (this->fleet) {
      const auto endpoint = this->fleet->start();
      if (!endpoint) {
        return tl::unexpected(endpoint.error());
      }
      std::make_shared<ContactSlots>(
          this->loop(), this->store, this->adapters.contact_collection,
          ContactSlots::Self{this->settings.member, *endpoint,
                             this->settings.zone},
          [this] { return *this->fleet->members(); }, this->log)
          ->start(draw());
    }
    asio::co_spawn(this->loop(), this->check_store(), asio::detached);
    this->tick();
    this->await_signal();
    this->loop().run();
    this->log.event(eventlog::Weight::kBelief, "stop")
        .with("in_flight", this->callers.in_flight());
    this->log.flush();
    return {};
  }

 private:
  [[nodiscard]] asio::io_context& loop() { return this->pool.at(0); }

  [[nodiscard]] http::ServerLimits server_limits() const {
    http::ServerLimits limits;
    limits.drain_grace = this->settings.leave_notice;
    return limits;
  }

  [[nodiscard]] http::Server::Handler caller_handler() {
    return [this](std::shared_ptr<const http::Request> request,
                  std::shared_ptr<http::CancelToken> caller) {
      return this->serve(std::move(request), std::move(caller));
    };
  }

  Task<http::Response> serve(std::shared_ptr<const http::Request> request,
                             std::shared_ptr<http::CancelToken> caller) {
    const CallerProtocol& protocol = *this->adapters.caller_protocol;
    auto read = protocol.read(std::move(request), Clock::now());
    if (!read) {
      this->log.event(eventlog::Weight::kFailure, "request_unreadable")
          .with("reason", read.error().message);
      dispatch::Outcome refused = tl::unexpected(std::move(read.error()));
      co_return protocol.write(std::move(refused));
    }
    auto outcome =
        co_await this->dispatcher.handle(*std::move(read), std::move(caller));
    co_return protocol.write(std::move(outcome));
  }

  [[nodiscard]] http::Server::Handler ready_handler() {
    return [this](std::shared_ptr<const http::Request>,
                  std::shared_ptr<http::CancelToken>) -> Task<http::Response> {
      const bool ready = this->is_ready();
      co_return text_response(ready ? 200 : 503, ready ? "ok\n" : "no\n");
    };
  }

  [[nodiscard]] http::Server::Handler metrics_handler() {
    return [this](std::shared_ptr<const http::Request>,
                  std::shared_ptr<http::CancelToken>) -> Task<http::Response> {
      const prometheus::TextSerializer serializer;
      co_return text_response(200,
                              serializer.Serialize(this->registry.Collect()));
    };
  }

  /// Both the configuration and the leafs are known. The store's absence later
  /// on is no reason to leave the rotation: what is known still serves.
  [[nodiscard]] bool is_ready() const {
    return !this->stopping && this->dispatcher.table() &&
           this->leaf_feed->mirror().version() > 0;
  }

  [[nodiscard]] Result<void> listen() {
    const std::pair<http::Server*, const std::string*> all[] = {
        {&this->callers, &this->settings.caller_endpoint},
        {&this->balancer, &this->settings.ready_endpoint},
        {&this->metrics, &this->settings.metrics_endpoint}};
    std::array<std::uint16_t, std::size(all)> ports{};
    for (std::size_t i = 0; i < std::size(all); ++i) {
      const peer::PeerEndpoint endpoint = endpoint_of(*all[i].second);
      const auto bound = all[i].first->listen(endpoint.address, endpoint.port);
      if (!bound) {
        return tl::unexpected(bound.error());
      }
      ports[i] = *bound;
    }
    this->log.event(eventlog::Weight::kBelief, "start")
        .with("zone", this->settings.zone)
        .with("caller_port", ports[0])
        .with("ready_port", ports[1])
        .with("metrics_port", ports[2])
        .with("store", this->settings.store_endpoint)
        .with("hosts", this->settings.hosts)
        .with("repeat_ratio", this->settings.repeat_ratio);
    this->log.flush();
    return {};
  }

  void start_feeds() {
    feed::FeedSettings times;
    times.watch_wait = this->settings.watch_wait;
    times.change_pause = this->settings.change_pause;
    times.first_pause = this->fleet ? kFirstWatchPause : milliseconds(0);
    this->configuration_feed = std::make_shared<feed::CollectionFeed>(
        this->loop(), this->store, this->adapters.configuration_collection,
        times, this->configuration, this->log);
    this->leaf_feed = std::make_shared<feed::CollectionFeed>(
        this->loop(), this->store, this->adapters.leaf_collection, times,
        this->leafs, this->log);
    if (!this->fleet) {
      this->configuration_feed->start();
      this->leaf_feed->start();
      return;
    }
    feed::SourceSettings source;
    source.watchers = this->settings.watchers;
    this->relay = std::make_shared<feed::FeedRelay>(
        this->loop(), this->fleet->network(), source,
        feed::FeedRelay::Feeds{this->configuration_feed, this->leaf_feed},
        this->log);
    this->reports = std::make_shared<reports::ReportExchange>(
        this->loop(), this->fleet->network(), this->dispatcher, this->log);
    this->reports->start();
    const bool lazy = this->settings.first_start;
    this->relay->start(lazy ? first_start_patience() : Duration::zero());
  }

  void on_view(const membership::MembershipView& view) {
    this->log.event(eventlog::Weight::kBelief, "members")
        .with("serving", view.serving())
        .with("joined", view.joined);
    this->relay->on_view(view);
    this->reports->on_view(view);
    this->share_fleet();
  }

  void share_fleet() {
    if (!this->fleet) {
      return;
    }
    FleetSize size = this->fleet->size(Clock::now());
    if (size.known) {
      this->store.set_members(size.sharers.hosts);
      this->dispatcher.set_fleet(std::move(size.sharers));
    }
  }

  void take(const std::shared_ptr<const routing::RouteTable>& table) {
    if (!this->dispatcher.put_in_force(table)) {
      return;
    }
    const routing::CallerLimits& told = table->limits();
    http::ServerLimits limits = this->server_limits();
    limits.header_bytes = std::max(limits.header_bytes, told.header_bytes);
    limits.body_bytes = std::max(limits.body_bytes, told.body_bytes);
    limits.transfer_timeout = told.header_timeout;
    // A caller goes by the version that it has heard of: a connection is kept
    // for the longest time that any version of this run has allowed.
    this->longest_idle =
        std::max<Duration>(this->longest_idle, told.idle_timeout);
    limits.idle_timeout = this->longest_idle;
    this->callers.set_limits(limits);
  }

  /// Cheap reads that show whether the store answers this host. A watch that
  /// waits can't tell a store without news from one that has gone silent.
  Task<void> check_store() {
    http::Timer timer(this->loop().get_executor());
    bool was_lost = false;
    int deaf_checks = 0;
    for (;;) {
      timer.expires_after(this->settings.check_interval);
      co_await timer.async_wait(asio::use_awaitable);
      if (this->relay && !this->relay->follows_store()) {
        continue;
      }
      auto object = co_await this->store.stale_get(
          this->adapters.configuration_collection,
          this->adapters.configuration_name, Clock::now() + kCheckTime);
      if (!object && object.error().kind == ErrorKind::kNotFound) {
        continue;
      }
      if (!object) {
        was_lost = true;
        this->configuration_feed->report_lost(object.error().message);
        this->leaf_feed->report_lost(object.error().message);
        continue;
      }
      if (this->relay) {
        this->relay->on_store_word();
      }
      // A change that is a moment old may still be on its way to the watch.
      const bool behind =
          object->version > this->configuration_feed->mirror().version();
      deaf_checks = behind ? deaf_checks + 1 : 0;
      if (std::exchange(was_lost, false) || deaf_checks > 1) {
        this->refresh(deaf_checks > 1 ? "watch is deaf" : "store is back");
        deaf_checks = 0;
      }
    }
  }

  void refresh(std::string_view reason) {
    this->log.event(eventlog::Weight::kBelief, "refresh")
        .with("reason", reason)
        .with("configuration_version",
              this->configuration_feed->mirror().version())
        .with("leaf_version", this->leaf_feed->mirror().version());
    this->configuration_feed->restart();
    this->leaf_feed->restart();
  }

  void tick() {
    this->ticker.expires_after(kTick);
    this->ticker.async_wait([this](const boost::system::error_code& error) {
      if (error) {
        return;
      }
      const Duration stall =
          this->stalls.tick(Clock::now(), StallDetector::boot_time());
      if (stall > Duration::zero()) {
        this->log.event(eventlog::Weight::kBelief, "stood_still")
            .with("for_ms", stall);
        this->refresh("stood still");
      }
      this->share_fleet();
      if (++this->ticks % kTicksPerLook == 0) {
        this->reload_settings(false);
      }
      this->tick();
    });
  }

  void await_signal() {
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

  /// Takes over what may change while the daemon runs: the budget of repeats,
  /// the cost of other zones, the times of a stop. Nothing open is touched.
  /// @param asked By a signal; else only where the file has changed.
  void reload_settings(bool asked) {
    const auto fresh = this->reload(asked);
    if (!fresh) {
      if (asked) {
        this->log.event(eventlog::Weight::kBelief, "reload")
            .with("done", false)
            .with("reason",
                  "the settings are wrong; standard error says where");
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
    this->dispatcher.set_costs(dispatch_settings(this->settings));
    this->log.event(eventlog::Weight::kBelief, "reload")
        .with("done", true)
        .with("repeat_ratio", this->settings.repeat_ratio)
        .with("repeat_slack", this->settings.repeat_slack)
        .with("endpoints_need_a_start", needs_start);
  }

  void drain() {
    this->stopping = true;
    this->log.event(eventlog::Weight::kBelief, "drain")
        .with("in_flight", this->callers.in_flight())
        .with("connections", this->callers.connections());
    if (this->fleet) {
      this->fleet->announce_leaving();
    }
    this->callers.drain();
    this->stop_by = Clock::now() + this->settings.stop_limit - kStopMargin;
    this->ticker.cancel();
    this->await_idle();
  }

  void await_idle() {
    if (this->callers.in_flight() == 0 || Clock::now() >= this->stop_by) {
      this->loop().stop();
      return;
    }
    this->ticker.expires_after(kStopTick);
    this->ticker.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        this->await_idle();
      }
    });
  }

  EdgeSettings settings;
  Adapters adapters;
  const Reload reload;
  std::uint64_t ticks = 0;
  prometheus::Registry registry;
  IoPool pool;
  eventlog::EventLog log;
  store::HttpObjectStore store;
  dispatch::Dispatcher dispatcher;
  directory::LeafDirectory directory;
  ConfigurationFeed configuration;
  LeafFeed leafs;
  std::shared_ptr<feed::CollectionFeed> configuration_feed;
  std::shared_ptr<feed::CollectionFeed> leaf_feed;
  std::optional<Fleet> fleet;
  std::shared_ptr<feed::FeedRelay> relay;
  std::shared_ptr<reports::ReportExchange> reports;
  http::Server callers;
  http::Server balancer;
  http::Server metrics;
  asio::signal_set signals;
  http::Timer ticker;
  StallDetector stalls;
  Duration longest_idle{0};
  bool stopping = false;
  TimePoint stop_by;
};

EdgeDaemon::EdgeDaemon(EdgeSettings settings, Adapters adapters, Reload reload)
    : impl(std::make_unique<Impl>(std::move(settings),
                                  std::move(adapters),
                                  std::move(reload))) {}

EdgeDaemon::~EdgeDaemon() = default;

Result<void> EdgeDaemon::run() {
  return this->impl->run();
}

}  // namespace ibismux::edge
