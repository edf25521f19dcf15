#ifndef IBISMUX_EDGE_EDGE_DAEMON_IMPL_H_
#define IBISMUX_EDGE_EDGE_DAEMON_IMPL_H_

#include <prometheus/registry.h>

#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "ibismux/base/io_pool.h"
#include "ibismux/customers/rate_limiter.h"
#include "ibismux/directory/leaf_directory.h"
#include "ibismux/dispatch/dispatcher.h"
#include "ibismux/edge/configuration_feed.h"
#include "ibismux/edge/edge_daemon.h"
#include "ibismux/edge/evacuation_feed.h"
#include "ibismux/edge/fleet.h"
#include "ibismux/edge/leaf_feed.h"
#include "ibismux/edge/leaf_recovery.h"
#include "ibismux/edge/quarantine_feed.h"
#include "ibismux/edge/stall_detector.h"
#include "ibismux/edge/store_check.h"
#include "ibismux/eventlog/event_log.h"
#include "ibismux/feed/collection_feed.h"
#include "ibismux/feed/feed_relay.h"
#include "ibismux/gather/gather_client.h"
#include "ibismux/gather/gather_host.h"
#include "ibismux/http/server.h"
#include "ibismux/reports/report_exchange.h"
#include "ibismux/startup/start_waiters.h"
#include "ibismux/store/http_object_store.h"

namespace ibismux::edge {

/// How often the daemon checks whether it was stalled.
inline constexpr std::chrono::milliseconds kTick{500};

/// The components of the daemon, declared in the order of their dependencies.
/// All run on the one event loop. `edge_daemon.cc` constructs them and serves
/// requests; `edge_daemon_life.cc` has the feeds, the checks of the store, the
/// reload of settings and the shutdown.
class EdgeDaemon::Impl {
 public:
  Impl(EdgeSettings settings, Adapters adapters, Reload reload);
  [[nodiscard]] Result<void> run();

 private:
  [[nodiscard]] boost::asio::io_context& loop() { return this->pool.at(0); }
  [[nodiscard]] http::Server::Handler caller_handler();
  Task<http::Response> serve(std::shared_ptr<const http::Request> request,
                             std::shared_ptr<http::CancelToken> caller);
  [[nodiscard]] http::Server::Handler ready_handler();
  [[nodiscard]] http::Server::Handler metrics_handler();
  void update_gauges();
  /// Returns whether the configuration and the leafs are known and the daemon
  /// isn't stopping. A later outage of the store doesn't make the daemon
  /// unready, because it can still serve with the data that it has.
  [[nodiscard]] bool is_ready() const;
  [[nodiscard]] Result<void> listen();
  void start_feeds();
  [[nodiscard]] std::shared_ptr<feed::CollectionFeed> make_feed(
      const std::string& collection,
      feed::FeedObserver& observer);
  /// Makes all feeds retry at once; called when the store answers for one
  /// collection.
  void retry_feeds();
  /// Starts to keep the checkpoint of leafs. Precondition: the feeds exist and
  /// have not started.
  void start_checkpoint();
  void recover_leafs();
  void start_gathering();
  void start_rates();
  /// Returns the number of requests in flight, from callers and from peers.
  [[nodiscard]] std::size_t in_flight() const;
  void on_view(const membership::MembershipView& view,
               const gather::GatherRoles& roles);
  void apply_fleet_size();
  /// Tells the limiter of customers who is in the fleet. Does nothing while the
  /// configuration has no customers.
  void update_rate_owners();
  void apply_table(const std::shared_ptr<const routing::RouteTable>& table);
  /// Reads one object from time to time to detect whether the store answers
  /// this host. A pending watch can't distinguish a store without changes from
  /// one that has stopped answering.
  Task<void> check_store();
  /// Compares the local data with the configuration's version in the store.
  [[nodiscard]] StoreCheck::Answer compare(store::Version configuration) const;
  void act_on(CheckAction action);
  void report_store_lost(std::string_view reason);
  void refresh(std::string_view reason);
  void tick();
  void await_signal();
  /// Applies the settings that may change while the daemon runs: the budget
  /// of repeats, the cost of other zones and the time limits of a shutdown.
  /// Open connections and requests aren't affected.
  /// @param forced Whether a signal requested the reload; otherwise the
  /// settings are applied only if the file has changed.
  void reload_settings(bool forced);
  void drain();
  /// Stops the event loop once no request is in flight. Requests that still
  /// are at `answer_deadline` are answered then, and cut at `stop_deadline`.
  void await_idle();
  /// Has all requests in flight answered now.
  void cancel_requests();
  /// Logs how many requests are in flight, and in which phase.
  void log_open_requests(std::string_view event);

  EdgeSettings settings;
  Adapters adapters;
  const Reload reload;
  std::uint64_t ticks = 0;
  prometheus::Registry registry;
  IoPool pool;
  eventlog::EventLog log;
  store::HttpObjectStore store;
  startup::StartWaiters start_waiters;
  dispatch::Dispatcher dispatcher;
  directory::LeafDirectory directory;
  ConfigurationFeed configuration;
  LeafFeed leafs;
  EvacuationFeed evacuations;
  QuarantineFeed quarantine;
  std::shared_ptr<feed::CollectionFeed> configuration_feed;
  std::shared_ptr<feed::CollectionFeed> leaf_feed;
  std::vector<std::shared_ptr<feed::CollectionFeed>> feeds;  ///< All of them.
  std::shared_ptr<LeafRecovery> recovery;  ///< Null without a checkpoint.
  std::optional<Fleet> fleet;
  std::shared_ptr<feed::FeedRelay> relay;
  std::shared_ptr<reports::ReportExchange> reports;
  std::shared_ptr<gather::GatherClient> gather_client;
  std::shared_ptr<gather::GatherHost> gather_host;
  std::shared_ptr<customers::RateLimiter> rates;
  http::ServerLimits limits;  ///< Limits in force for callers.
  http::Server callers;
  http::Server balancer;
  http::Server metrics;
  boost::asio::signal_set signals;
  http::Timer check_timer;  ///< Until the next check of the store.
  http::Timer ticker;
  http::Timer stop_timer;  ///< Until the next look at what is in flight.
  StallDetector stalls;
  Duration max_idle_timeout{0};
  bool stopping = false;
  TimePoint answer_deadline;
  /// Of the answers that are given at `answer_deadline`; unlimited before.
  TimePoint stop_deadline = TimePoint::max();
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_EDGE_DAEMON_IMPL_H_
