#include "ibismux/edge/edge_daemon.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <iterator>
#include <utility>

#include "ibismux/edge/contact_slots.h"
#include "ibismux/edge/edge_daemon_impl.h"
#include "ibismux/edge/endpoint.h"
#include "ibismux/edge/package_settings.h"
#include "ibismux/http/response_memory.h"

namespace ibismux::edge {

namespace {

namespace asio = boost::asio;

http::Response text_response(int status, std::string text) {
  http::Response response;
  response.status = status;
  response.add("Content-Type", "text/plain; charset=utf-8");
  response.body = std::move(text);
  return response;
}

}  // namespace

EdgeDaemon::Impl::Impl(EdgeSettings settings, Adapters adapters, Reload reload)
    : settings(std::move(settings)),
      adapters(std::move(adapters)),
      reload(std::move(reload)),
      pool(1),
      log(pool.at(0), log_settings(this->settings)),
      store(pool,
            store_settings(this->settings),
            std::move(this->adapters.store_dialect),
            registry,
            random_number()),
      start_waiters(pool.at(0), {}, Clock::now(), registry),
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
          [this](auto table) { this->apply_table(std::move(table)); },
          [this] { this->retry_feeds(); }),
      leafs(
          pool.at(0),
          directory,
          *this->adapters.leaf_entries,
          registry,
          log,
          [this] { this->retry_feeds(); },
          [this] { this->recover_leafs(); }),
      evacuations(
          [this](const ZoneNames& zones) {
            this->dispatcher.set_evacuated(zones);
          },
          [this] { this->retry_feeds(); }),
      quarantine(dispatcher.quarantine(), log, [this] { this->retry_feeds(); }),
      limits{.drain_grace = this->settings.leave_notice},
      callers(pool, this->limits, this->caller_handler()),
      balancer(pool, {}, this->ready_handler()),
      metrics(pool, {}, this->metrics_handler()),
      signals(pool.at(0)),
      check_timer(pool.at(0).get_executor()),
      ticker(pool.at(0).get_executor()),
      stop_timer(pool.at(0).get_executor()),
      stalls(kTick, Clock::now(), StallDetector::boot_time()) {
  if (this->settings.hold_at_start) {
    this->dispatcher.set_start_waiters(this->start_waiters);
  }
  if (!this->settings.peer_endpoint.empty()) {
    this->fleet.emplace(
        this->pool, this->store, this->registry, fleet_settings(this->settings),
        Fleet::Listeners{[this](const membership::MembershipView& view,
                                const gather::GatherRoles& roles) {
                           this->on_view(view, roles);
                         },
                         [this] { this->apply_fleet_size(); }});
  }
}

Result<void> EdgeDaemon::Impl::run() {
  std::signal(SIGPIPE, SIG_IGN);
  // Before callers can connect: a signal that nobody handles ends the process.
  this->await_signal();
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
        ->start(random_number());
  }
  asio::co_spawn(this->loop(), this->check_store(), asio::detached);
  this->tick();
  this->loop().run();
  this->log_open_requests("stop");
  this->log.flush();
  return {};
}

void EdgeDaemon::Impl::log_open_requests(std::string_view event) {
  const http::OpenRequests open = this->callers.open_requests();
  this->log.event(eventlog::Weight::kBelief, event)
      .with("in_flight", this->in_flight())
      .with("reason",
            this->stop_deadline == TimePoint::max() ? "idle" : "limit")
      .with("reading", open.reading)
      .with("handling", open.handling)
      .with("writing", open.writing)
      .with("gathering",
            this->gather_host ? this->gather_host->in_flight() : 0);
}

http::Server::Handler EdgeDaemon::Impl::caller_handler() {
  return [this](std::shared_ptr<const http::Request> request,
                std::shared_ptr<http::CancelToken> caller) {
    return this->serve(std::move(request), std::move(caller));
  };
}

Task<http::Response> EdgeDaemon::Impl::serve(
    std::shared_ptr<const http::Request> request,
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

http::Server::Handler EdgeDaemon::Impl::ready_handler() {
  return [this](std::shared_ptr<const http::Request>,
                std::shared_ptr<http::CancelToken>) -> Task<http::Response> {
    const bool ready = this->is_ready();
    co_return text_response(ready ? 200 : 503, ready ? "ok\n" : "no\n");
  };
}

http::Server::Handler EdgeDaemon::Impl::metrics_handler() {
  return [this](std::shared_ptr<const http::Request>,
                std::shared_ptr<http::CancelToken>) -> Task<http::Response> {
    this->update_gauges();
    const prometheus::TextSerializer serializer;
    co_return text_response(200,
                            serializer.Serialize(this->registry.Collect()));
  };
}

void EdgeDaemon::Impl::update_gauges() {
  auto& family = prometheus::BuildGauge()
                     .Name("ibismux_caller_requests_open")
                     .Help("Requests of callers that are not answered yet.")
                     .Register(this->registry);
  if (const auto& memory = this->adapters.response_memory) {
    prometheus::BuildGauge()
        .Name("ibismux_leaf_response_bytes")
        .Help("Memory of the responses of leafs that are arriving.")
        .Register(this->registry)
        .Add({})
        .Set(static_cast<double>(memory->held()));
    auto& given_up = prometheus::BuildCounter()
                         .Name("ibismux_leaf_responses_given_up_total")
                         .Help("Responses given up for want of memory.")
                         .Register(this->registry)
                         .Add({});
    given_up.Increment(static_cast<double>(memory->given_up()) -
                       given_up.Value());
  }
  const http::OpenRequests open = this->callers.open_requests();
  const std::pair<const char*, std::size_t> phases[] = {
      {"reading", open.reading},
      {"handling", open.handling},
      {"writing", open.writing}};
  for (const auto& [phase, count] : phases) {
    family.Add({{"phase", phase}}).Set(static_cast<double>(count));
  }
}

bool EdgeDaemon::Impl::is_ready() const {
  return !this->stopping && this->dispatcher.table() &&
         this->leaf_feed->mirror().version() > 0;
}

Result<void> EdgeDaemon::Impl::listen() {
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

void EdgeDaemon::Impl::apply_table(
    const std::shared_ptr<const routing::RouteTable>& table) {
  if (!this->dispatcher.activate(table)) {
    return;
  }
  this->recover_leafs();
  this->update_rate_owners();
  const routing::CallerLimits& configured = table->limits();
  const http::ServerLimits defaults;
  this->limits.header_bytes =
      std::max(defaults.header_bytes, configured.header_bytes);
  this->limits.body_bytes =
      std::max(defaults.body_bytes, configured.body_bytes);
  this->limits.transfer_timeout = configured.header_timeout;
  // A caller may still use the idle timeout of an earlier configuration, so a
  // connection is kept for the longest time that any version since the start of
  // this process has allowed.
  this->max_idle_timeout =
      std::max<Duration>(this->max_idle_timeout, configured.idle_timeout);
  this->limits.idle_timeout = this->max_idle_timeout;
  this->callers.set_limits(this->limits);
}

EdgeDaemon::EdgeDaemon(EdgeSettings settings, Adapters adapters, Reload reload)
    : impl(std::make_unique<Impl>(std::move(settings),
                                  std::move(adapters),
                                  std::move(reload))) {}

EdgeDaemon::~EdgeDaemon() = default;

Result<void> EdgeDaemon::run() {
  return this->impl->run();
}

}  // namespace ibismux::edge
