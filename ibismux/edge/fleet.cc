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

std::shared_ptr<const membership::MembershipView> single_member_view(
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

/// The intervals are longer than the defaults, because wake-ups are much of the
/// CPU time of an idle daemon.
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
      view(single_member_view(this->settings)),
      peers(pool, peer_settings(this->settings), view, registry),
      membership(membership_settings(this->settings),
                 pool,
                 peers,
                 store,
                 view,
                 registry,
                 [this](const std::vector<membership::Contact>& contacts) {
                   this->update(contacts);
                 }),
      listeners(std::move(listeners)) {
  this->membership.on_view(
      [this](const membership::MembershipView& fresh) { this->update(fresh); });
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

void Fleet::update(const membership::MembershipView& fresh) {
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
  this->listeners.on_size_change();
}

void Fleet::update(const std::vector<membership::Contact>& contacts) {
  peer::TcpPeerNetwork::Seeds seeds;
  std::size_t max_hosts = 0;
  const membership::Contact* largest_contact = nullptr;
  for (const membership::Contact& contact : contacts) {
    seeds[contact.name] = {contact.address, contact.port};
    const std::size_t hosts = total_of(contact.fleet);
    if (hosts > max_hosts) {
      max_hosts = hosts;
      largest_contact = &contact;
    }
  }
  this->peers.set_seeds(std::move(seeds));
  if (!largest_contact || this->size_known_by_contact ||
      max_hosts <= this->largest.hosts) {
    return;
  }
  // The contact's size applies until the other members are known. Daemons of a
  // large fleet that start together and assume a small fleet would open more
  // connections than leafs accept.
  this->size_known_by_contact = true;
  this->largest.hosts = max_hosts;
  this->largest.hosts_by_zone = largest_contact->fleet;
  // The daemon's rank among all members isn't known yet. Any rank works as long
  // as the ranks of all daemons are evenly distributed.
  this->largest.rank =
      membership::name_hash(this->settings.member, kRankSalt) % max_hosts;
  this->largest_at = Clock::now();
  this->listeners.on_size_change();
}

FleetSize Fleet::size(TimePoint now) {
  const bool expired = now > this->largest_at + kSizeRetention;
  if (this->current.hosts >= this->largest.hosts || expired) {
    this->largest = this->current;
    this->largest_at = now;
  }
  const bool startup_over = now - this->started >= kStartupPeriod;
  return {this->largest, this->size_known_by_contact ||
                             (startup_over && this->current.hosts > 1)};
}

}  // namespace ibismux::edge
