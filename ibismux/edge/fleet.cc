#include "ibismux/edge/fleet.h"

#include <utility>

#include "ibismux/base/io_pool.h"
#include "ibismux/edge/endpoint.h"
#include "ibismux/gather/gather_roles.h"
#include "ibismux/membership/member_record.h"
#include "ibismux/membership/membership_settings.h"
#include "ibismux/peer/peer_settings.h"

namespace ibismux::edge {

namespace {

std::shared_ptr<const membership::MembershipView> alone(
    const Fleet::Settings& settings) {
  auto view = std::make_shared<membership::MembershipView>();
  view->self = settings.member;
  view->joined = false;
  view->members.push_back({settings.member, 0, "", 0, settings.zone});
  return view;
}

peer::PeerSettings peer_settings(const Fleet::Settings& settings) {
  peer::PeerSettings peers;
  const peer::PeerEndpoint endpoint = endpoint_of(settings.endpoint);
  peers.listen_address = endpoint.address;
  peers.port = endpoint.port;
  peers.member = settings.member;
  peers.zone = settings.zone;
  return peers;
}

constexpr std::uint64_t kRankSalt = 59;

/// Fewer wake-ups than the defaults: they are much of what an idle daemon
/// costs.
membership::MembershipSettings membership_settings(
    const Fleet::Settings& settings) {
  membership::MembershipSettings membership;
  membership.link_mbps = settings.link_mbps;
  membership.tick = std::chrono::milliseconds(200);
  membership.probe_interval = std::chrono::milliseconds(1000);
  return membership;
}

}  // namespace

Fleet::Fleet(IoPool& pool,
             store::ObjectStore& store,
             prometheus::Registry& registry,
             Settings settings,
             Listeners listeners)
    : settings(std::move(settings)),
      view(alone(this->settings)),
      peers(pool, peer_settings(this->settings), view, registry),
      membership(membership_settings(this->settings),
                 pool,
                 peers,
                 store,
                 view,
                 registry,
                 [this](const std::vector<membership::Contact>& contacts) {
                   this->take(contacts);
                 }),
      listeners(std::move(listeners)) {
  this->membership.on_view(
      [this](const membership::MembershipView& fresh) { this->take(fresh); });
}

Result<std::string> Fleet::start() {
  const auto port = this->peers.start();
  if (!port) {
    return tl::unexpected(port.error());
  }
  this->started = Clock::now();
  const std::string address = endpoint_of(this->settings.endpoint).address;
  this->membership.start(address, *port, this->settings.zone);
  return address + ':' + std::to_string(*port);
}

void Fleet::take(const membership::MembershipView& fresh) {
  dispatch::LinkSharers sharers;
  sharers.hosts = fresh.serving();
  sharers.zone = this->settings.zone;
  sharers.hosts_by_zone = fresh.serving_by_zone();
  const std::uint64_t own = membership::name_hash(fresh.self, kRankSalt);
  for (const membership::Member& member : fresh.members) {
    const bool before =
        member.serves() && membership::name_hash(member.name, kRankSalt) < own;
    sharers.rank += before ? 1 : 0;
  }
  const gather::GatherRoles roles = gather::assign_roles(fresh);
  sharers.gatherers = roles.gatherers;
  sharers.gathers = roles.gathers;
  this->current = std::move(sharers);
  this->listeners.on_view(fresh, roles);
  this->listeners.on_size();
}

void Fleet::take(const std::vector<membership::Contact>& contacts) {
  peer::TcpPeerNetwork::Seeds seeds;
  std::size_t most = 0;
  const membership::Contact* told = nullptr;
  for (const membership::Contact& contact : contacts) {
    seeds[contact.name] = {contact.address, contact.port};
    const std::size_t hosts = total_of(contact.fleet);
    if (hosts > most) {
      most = hosts;
      told = &contact;
    }
  }
  this->peers.set_seeds(std::move(seeds));
  if (!told || this->size_known_by_contact || most <= this->largest.hosts) {
    return;
  }
  // Until the others are met: daemons of a large fleet that start together and
  // assume a small one open more connections than leafs accept.
  this->size_known_by_contact = true;
  this->largest.hosts = most;
  this->largest.hosts_by_zone = told->fleet;
  // Its place in the order of all isn't known yet; any that is spread evenly
  // does.
  this->largest.rank =
      membership::name_hash(this->settings.member, kRankSalt) % most;
  this->largest_at = Clock::now();
  this->listeners.on_size();
}

FleetSize Fleet::size(TimePoint now) {
  const bool forget = now > this->largest_at + kMemory;
  if (this->current.hosts >= this->largest.hosts || forget) {
    this->largest = this->current;
    this->largest_at = now;
  }
  const bool settled = now - this->started >= kSettling;
  return {this->largest,
          this->size_known_by_contact || (settled && this->current.hosts > 1)};
}

}  // namespace ibismux::edge
