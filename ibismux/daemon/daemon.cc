#include "ibismux/daemon/daemon.h"

#include <glog/logging.h>
#include <prometheus/registry.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <random>
#include <thread>

#include "ibismux/admission/admission.h"
#include "ibismux/base/io_pool.h"
#include "ibismux/caller/caller_api.h"
#include "ibismux/daemon/leaf_status_cache.h"
#include "ibismux/daemon/package_settings.h"
#include "ibismux/gateway/local_gateway.h"
#include "ibismux/gateway/ownership_strategy.h"
#include "ibismux/gateway/remote_gateway.h"
#include "ibismux/gateway/router.h"
#include "ibismux/http/server.h"
#include "ibismux/membership/contact_book.h"
#include "ibismux/membership/membership_service.h"
#include "ibismux/membership/membership_settings.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/operator/operator_api.h"
#include "ibismux/operator/operator_ports.h"
#include "ibismux/peer/tcp_peer_network.h"
#include "ibismux/query/query_engine.h"
#include "ibismux/relay/relay_service.h"
#include "ibismux/relay/relay_settings.h"
#include "ibismux/release/publisher.h"
#include "ibismux/release/publisher_settings.h"
#include "ibismux/release/release_store.h"
#include "ibismux/reservation/reservation_engine.h"
#include "ibismux/settings/settings.h"
#include "ibismux/store/http_object_store.h"
#include "ibismux/store/own_dialect.h"

namespace ibismux::daemon {

namespace {

using std::chrono::milliseconds;

/// How often a stop looks whether the work in flight has ended.
constexpr milliseconds kStopStep{10};
/// How long callers have to take the answers that a stop gives them.
constexpr milliseconds kAnswerTime{300};
/// How long outcomes of reservations have to be recorded after that.
constexpr milliseconds kFlushTime{200};
/// How long peers are given to agree that this daemon goes.
constexpr milliseconds kGoodbyeLimit{500};
/// How old the status page's part on leafs may be.
constexpr milliseconds kLeafStatusInterval{1000};

std::uint64_t draw() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

membership::MembershipView alone(const settings::Settings& settings) {
  membership::MembershipView view;
  view.self = settings.member;
  view.joined = false;
  view.members.push_back({settings.member, 0, settings.peer_address,
                          static_cast<std::uint16_t>(settings.peer_port),
                          settings.zone});
  return view;
}

peer::TcpPeerNetwork::Seeds seeds_of(
    const std::vector<membership::Contact>& contacts) {
  peer::TcpPeerNetwork::Seeds seeds;
  for (const membership::Contact& contact : contacts) {
    seeds[contact.name] = {contact.address, contact.port};
  }
  return seeds;
}

boost::json::value members_json(const membership::MembershipView& view) {
  boost::json::array rows;
  for (const membership::Member& member : view.members) {
    rows.push_back({{"name", member.name},
                    {"zone", member.zone},
                    {"incarnation", std::to_string(member.incarnation)},
                    {"state", membership::to_string(member.state)}});
  }
  return rows;
}

}  // namespace

class Daemon::Impl {
 public:
  explicit Impl(const settings::Settings& settings)
      : settings(settings),
        pool(settings.threads),
        members(std::make_shared<const membership::MembershipView>(
            alone(settings))),
        store(pool,
              platform_settings(settings),
              std::make_unique<store::OwnDialect>(),
              registry,
              draw()),
        peers(pool, peer_settings(settings), members, registry),
        membership(membership_settings(settings),
                   pool,
                   peers,
                   store,
                   members,
                   registry,
                   [this](const std::vector<membership::Contact>& contacts) {
                     this->peers.set_seeds(seeds_of(contacts));
                   }),
        relay({},
              pool,
              peers,
              store,
              releases,
              members,
              registry,
              &release_pool.at(0)),
        local(pool, registry),
        leaf_status(pool.at(0), local),
        remote(pool, peers, local, registry),
        router(releases.releases(),
               members,
               local,
               &remote,
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
        publisher(
            pool.at(0),
            store,
            releases,
            registry,
            {},
            peers.self(),
            [this] { return this->relay.rank(); },
            std::chrono::system_clock::now,
            &release_pool.at(0)),
        caller_api(
            queries,
            admission,
            reservations,
            // A balancer goes on sending callers for a while after readiness
            // turned false; refusing them would be seen as failed requests at
            // each restart, so they are served until the caller port closes.
            [this] { return this->not_started_because().empty(); },
            registry,
            draw()),
        operator_api(this->operator_ports()),
        caller_server(pool, caller_limits(settings), caller_api.handler()),
        operator_server(pool, {}, operator_api.handler()) {
    this->releases.on_change([this](Generation generation) {
      this->refresh_ownership();
      this->relay.on_applied(generation);
    });
    this->membership.on_view([this](const membership::MembershipView& view) {
      this->refresh_ownership();
      this->store.set_members(view.serving());
    });
  }

  Result<Ports> start() {
    const auto peer = this->peers.start();
    if (!peer) {
      return tl::unexpected(peer.error());
    }
    const auto caller = this->caller_server.listen(
        this->settings.caller_address,
        static_cast<std::uint16_t>(this->settings.caller_port));
    if (!caller) {
      return tl::unexpected(caller.error());
    }
    const auto operators = this->operator_server.listen(
        this->settings.operator_address,
        static_cast<std::uint16_t>(this->settings.operator_port));
    if (!operators) {
      return tl::unexpected(operators.error());
    }
    this->membership.start(this->settings.peer_address, *peer,
                           this->settings.zone);
    this->relay.start();
    this->leaf_status.start(kLeafStatusInterval);
    this->publisher.start();
    this->release_pool.start();
    this->pool.start();
    LOG(INFO) << "event=started member=" << this->settings.member
              << " incarnation=" << this->peers.self().number
              << " caller_port=" << *caller << " peer_port=" << *peer
              << " operator_port=" << *operators;
    return Ports{*caller, *peer, *operators};
  }

  void on_drain(std::function<void()> callback) {
    this->drain_callback = std::move(callback);
  }

  void stop() {
    LOG(INFO) << "event=stopping member=" << this->settings.member;
    const TimePoint deadline = Clock::now() + this->settings.stop_limit;
    this->leaving.store(true);
    this->membership.announce_leaving();
    // Callers that still come in this time are served: the balancer needs a
    // while to see that this daemon is not ready.
    std::this_thread::sleep_for(this->settings.leave_notice);
    this->caller_server.drain();
    this->wait_until(deadline - kAnswerTime - kFlushTime - kGoodbyeLimit,
                     [this] { return this->idle(); });
    if (!this->idle()) {
      this->cancel_requests();
    }
    // A reservation at a silent leaf would otherwise use up the time in which
    // peers agree that this daemon leaves.
    this->flush_outcomes(
        std::max(deadline - kGoodbyeLimit,
                 std::min<TimePoint>(deadline, Clock::now() + kFlushTime)));
    this->publisher.stop();
    this->relay.stop();
    this->membership.stop();
    this->peers.say_goodbye();
    // Peers that have not agreed yet would take the close for a loss.
    this->wait_until(std::min(deadline, Clock::now() + kGoodbyeLimit),
                     [this] { return this->peers.connections() == 0; });
    this->caller_server.stop();
    this->operator_server.stop();
    this->peers.stop();
    this->pool.stop();
    this->release_pool.stop();
    LOG(INFO) << "event=stopped member=" << this->settings.member;
  }

 private:
  operators::OperatorPorts operator_ports() {
    return {
        .store = this->store,
        .releases = this->releases,
        .registry = this->registry,
        .self = this->peers.self(),
        .written =
            [this](const release::ObjectKey& key, store::Version version) {
              this->publisher.nudge(key, version);
            },
        .in_force =
            [this](Generation generation) {
              const auto count = this->relay.in_force(generation);
              return operators::InForce{count.reached, count.members};
            },
        .not_ready_because = [this] { return this->not_ready_because(); },
        .drain = [this] { this->drain_callback(); },
        .sections = this->sections(),
    };
  }

  std::vector<operators::StatusSection> sections() {
    return {
        {"members", [this] { return members_json(*this->members.read()); }},
        {"leafs", [this] { return this->leaf_status.json(); }},
        {"relay", [this] { return this->relay.status(); }},
        {"control_bytes",
         [this] { return boost::json::value(this->peers.control_bytes()); }},
        {"platform",
         [this] {
           return boost::json::value{
               {"state", store::to_string(this->store.state())}};
         }},
    };
  }

  [[nodiscard]] std::string not_ready_because() const {
    if (this->leaving.load()) {
      return "leaving";
    }
    return this->not_started_because();
  }

  [[nodiscard]] std::string not_started_because() const {
    if (this->releases.generation() == 0) {
      return "this daemon has no release yet";
    }
    return this->members.read()->joined ? ""
                                        : "this daemon has met no other yet";
  }

  void refresh_ownership() {
    if (this->members.read()->joined) {
      this->router.refresh();
    }
  }

  template <class Condition>
  void wait_until(TimePoint deadline, Condition condition) {
    while (!condition() && Clock::now() < deadline) {
      std::this_thread::sleep_for(kStopStep);
    }
  }

  /// Whether there are no requests of callers and no calls of peers.
  [[nodiscard]] bool idle() const noexcept {
    return this->caller_server.in_flight() == 0 && this->local.in_flight() == 0;
  }

  /// Has all requests of callers and queries of peers answered now, and gives
  /// them time to take the answers.
  void cancel_requests() {
    const http::OpenRequests open = this->caller_server.open_requests();
    LOG(INFO) << "event=stop_limit reading=" << open.reading
              << " handling=" << open.handling << " writing=" << open.writing
              << " leaf_calls=" << this->local.in_flight();
    this->caller_server.cancel_requests();
    this->remote.cancel_served();
    this->wait_until(Clock::now() + kAnswerTime,
                     [this] { return this->idle(); });
  }

  void flush_outcomes(TimePoint deadline) {
    boost::asio::co_spawn(this->pool.at(0), this->reservations.flush(deadline),
                          boost::asio::use_future)
        .wait();
  }

  const settings::Settings settings;
  prometheus::Registry registry;
  IoPool pool;
  /// Serves no requests; see release::WorkLoop. Destroyed before `pool`.
  IoPool release_pool{1};
  std::atomic<bool> leaving{false};
  std::function<void()> drain_callback = [] {};
  RcuCell<membership::MembershipView> members;
  store::HttpObjectStore store;
  release::ReleaseStore releases;
  peer::TcpPeerNetwork peers;
  membership::MembershipService membership;
  relay::RelayService relay;
  gateway::LocalGateway local;
  LeafStatusCache leaf_status;
  gateway::RemoteGateway remote;
  gateway::Router router;
  query::QueryEngine queries;
  admission::Admission admission;
  reservation::ReservationEngine reservations;
  release::Publisher publisher;
  caller::CallerApi caller_api;
  operators::OperatorApi operator_api;
  http::Server caller_server;
  http::Server operator_server;
};

Daemon::Daemon(const settings::Settings& settings)
    : impl(std::make_unique<Impl>(settings)) {}
Daemon::~Daemon() = default;

Result<Ports> Daemon::start() {
  return this->impl->start();
}

void Daemon::on_drain(std::function<void()> callback) {
  this->impl->on_drain(std::move(callback));
}

void Daemon::stop() {
  this->impl->stop();
}

}  // namespace ibismux::daemon
