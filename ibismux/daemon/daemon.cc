#include "ibismux/daemon/daemon.h"

#include <glog/logging.h>
#include <prometheus/registry.h>

#include <atomic>
#include <random>

#include "ibismux/admission/admission.h"
#include "ibismux/base/io_pool.h"
#include "ibismux/caller/caller_api.h"
#include "ibismux/daemon/solo_network.h"
#include "ibismux/gateway/local_gateway.h"
#include "ibismux/gateway/ownership_strategy.h"
#include "ibismux/gateway/router.h"
#include "ibismux/http/server.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/platform/http_object_store.h"
#include "ibismux/platform/platform_settings.h"
#include "ibismux/query/query_engine.h"
#include "ibismux/release/publisher.h"
#include "ibismux/release/release_store.h"
#include "ibismux/reservation/reservation_engine.h"
#include "ibismux/reservation/reservation_settings.h"
#include "ibismux/settings/settings.h"

namespace ibismux::daemon {

namespace {

std::uint64_t draw() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

membership::MembershipView alone(const settings::Settings& settings,
                                 std::uint64_t incarnation) {
  membership::MembershipView view;
  view.self = settings.member;
  view.members.push_back({settings.member, incarnation, settings.peer_address,
                          static_cast<std::uint16_t>(settings.peer_port),
                          settings.zone});
  return view;
}

platform::PlatformSettings platform_settings(
    const settings::Settings& settings) {
  platform::PlatformSettings result;
  result.address = settings.platform_address;
  result.port = static_cast<std::uint16_t>(settings.platform_port);
  result.budget.per_second = {
      static_cast<double>(settings.fleet_reads_per_second),
      static_cast<double>(settings.fleet_writes_per_second),
      static_cast<double>(settings.fleet_watches_per_second)};
  return result;
}

http::ServerLimits caller_limits(const settings::Settings& settings) {
  http::ServerLimits limits;
  limits.header_bytes = settings.caller_header_bytes;
  limits.body_bytes = settings.caller_body_bytes;
  limits.connections = settings.caller_connections;
  limits.idle_timeout = settings.caller_idle_timeout;
  limits.transfer_timeout = settings.caller_transfer_timeout;
  return limits;
}

reservation::ReservationSettings reservation_settings(
    const settings::Settings& settings) {
  reservation::ReservationSettings result;
  result.retention = std::chrono::duration_cast<std::chrono::seconds>(
      settings.claim_retention);
  return result;
}

}  // namespace

class Daemon::Impl {
 public:
  explicit Impl(const settings::Settings& settings)
      : settings(settings),
        pool(settings.threads),
        incarnation{settings.member, draw()},
        members(std::make_shared<const membership::MembershipView>(
            alone(settings, incarnation.number))),
        store(pool, platform_settings(settings), registry, draw()),
        peers(incarnation),
        local(pool, registry),
        router(releases.releases(),
               members,
               local,
               nullptr,
               gateway::make_ownership(settings.ownership),
               registry),
        queries(draw(), releases.releases(), router, registry),
        admission(releases.releases(), members, registry),
        reservations(pool,
                     releases.releases(),
                     members,
                     router,
                     peers,
                     store,
                     registry,
                     reservation_settings(settings)),
        publisher(pool.at(0),
                  store,
                  releases,
                  registry,
                  {},
                  incarnation,
                  [] { return std::size_t{0}; }),
        caller_api(
            queries,
            admission,
            reservations,
            [this] { return this->ready(); },
            registry,
            draw()),
        caller_server(pool, caller_limits(settings), caller_api.handler()) {
    this->releases.on_change([this](Generation) { this->router.refresh(); });
  }

  Result<Ports> start() {
    Ports ports;
    const auto caller = this->caller_server.listen(
        this->settings.caller_address,
        static_cast<std::uint16_t>(this->settings.caller_port));
    if (!caller) {
      return tl::unexpected(caller.error());
    }
    ports.caller = *caller;
    this->router.refresh();
    this->publisher.start();
    this->pool.start();
    return ports;
  }

  void stop() {
    this->leaving.store(true);
    this->caller_server.drain();
    this->publisher.stop();
    this->caller_server.stop();
    this->pool.stop();
  }

  [[nodiscard]] bool ready() const {
    return !this->leaving.load() && this->releases.generation() > 0;
  }

 private:
  const settings::Settings settings;
  prometheus::Registry registry;
  IoPool pool;
  std::atomic<bool> leaving{false};
  Incarnation incarnation;
  RcuCell<membership::MembershipView> members;
  platform::HttpObjectStore store;
  release::ReleaseStore releases;
  SoloNetwork peers;
  gateway::LocalGateway local;
  gateway::Router router;
  query::QueryEngine queries;
  admission::Admission admission;
  reservation::ReservationEngine reservations;
  release::Publisher publisher;
  caller::CallerApi caller_api;
  http::Server caller_server;
};

Daemon::Daemon(const settings::Settings& settings)
    : impl(std::make_unique<Impl>(settings)) {}
Daemon::~Daemon() = default;

Result<Ports> Daemon::start() {
  return this->impl->start();
}

void Daemon::on_drain(std::function<void()>) {}

void Daemon::stop() {
  this->impl->stop();
}

}  // namespace ibismux::daemon
