#include "ibismux/dispatch/link_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ibismux::dispatch {

namespace {

// Part of a leaf's connections that daemons use; the rest is for links that are
// just closing and for daemons that were replaced a moment ago.
constexpr double kUsable = 0.9;
// Replicas of a shard to which a daemon keeps links where it can: a second one
// answers for the first, a third seldom.
constexpr std::size_t kReplicasWanted = 2;
// Part of a leaf's connections that is kept open where only some daemons keep
// links to so many replicas. Less than `kUsable`: the hedges of the others dial
// too.
constexpr double kUsableForSome = 0.8;
// Part of a leaf's connections that are opened ahead of calls. A fleet that
// loses power leaves its connections behind, and leafs hold them until they
// have been idle for long enough: those of before and those of after must have
// room at once.
constexpr double kOpenedAhead = 0.45;
// Links of all daemons together for each slot of a leaf, and the fewest for one
// daemon: one at work, one waiting, one for a call that pauses.
constexpr double kLinksPerSlot = 2;
constexpr double kLeastUseful = 3;

// Part of a leaf's connections for daemons that gather queries for others,
// where there are any; the others need theirs when they gather by themselves.
constexpr double kPartOfGatherers = 0.5;

// Where a daemon's even part is below two links. Idle links are what fills a
// leaf's connections, so a daemon may open more than its part for calls at
// hand, and keeps its part only.
constexpr std::size_t kScarceLinks = 1;

std::size_t whole(double number) {
  return static_cast<std::size_t>(std::max(0.0, number));
}

double usable(const Replica& replica) {
  return static_cast<double>(replica.connections) * kUsable;
}

/// The replicas in the order in which this daemon prefers them.
std::vector<std::size_t> order(const std::vector<Replica>& replicas,
                               const LinkSharers& sharers) {
  std::vector<std::size_t> indices(replicas.size());
  std::iota(indices.begin(), indices.end(), std::size_t{0});
  const auto key = [&](std::size_t index) {
    const bool remote = replicas[index].zone != sharers.zone;
    return std::pair(remote, (index + sharers.rank) % replicas.size());
  };
  std::sort(indices.begin(), indices.end(),
            [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
  return indices;
}

/// @param open_ahead Where the limit is known.
LinkGrant even_grant(const Replica& replica, double hosts, bool open_ahead) {
  if (replica.connections == 0) {
    return {};
  }
  const double useful = std::max(
      kLeastUseful,
      std::ceil(kLinksPerSlot * static_cast<double>(replica.slots) / hosts));
  const double share = std::min(usable(replica) / hosts, useful);
  return {.most = std::max<std::size_t>(1, whole(share)),
          .keep = true,
          .open_ahead = open_ahead};
}

/// Connections of all replicas for each daemon.
double connections_each(const std::vector<Replica>& replicas,
                        const LinkSharers& sharers) {
  double connections = 0;
  for (const Replica& replica : replicas) {
    connections += static_cast<double>(replica.connections);
  }
  return connections / static_cast<double>(sharers.hosts);
}

/// `room` replicas for each daemon, where that isn't a whole number: one more
/// for the part of the daemons that makes up the rest.
std::size_t whole_for(double room, std::size_t rank) {
  // Multiples of the golden ratio spread any run of ranks evenly over [0, 1),
  // whatever else the rank decides.
  constexpr double kGoldenRatio = 0.6180339887498949;
  const double place = static_cast<double>(rank) * kGoldenRatio;
  const bool one_more = place - std::floor(place) < room - std::floor(room);
  return whole(room) + (one_more ? 1 : 0);
}

/// How many replicas a daemon keeps links to.
std::size_t replicas_kept(double each, std::size_t rank) {
  const std::size_t all = whole(each * kUsable);
  if (all >= kReplicasWanted) {
    return all;
  }
  return std::max<std::size_t>(1, whole_for(each * kUsableForSome, rank));
}

/// The plan where all of `sharers` have about the same number of calls.
std::vector<LinkGrant> plan_alike(const std::vector<Replica>& replicas,
                                  const LinkSharers& sharers) {
  const double hosts = std::max<double>(1, static_cast<double>(sharers.hosts));
  const bool fleet_known = !sharers.hosts_by_zone.empty();
  std::vector<LinkGrant> grants;
  bool scarce = false;
  for (const Replica& replica : replicas) {
    grants.push_back(even_grant(replica, hosts, fleet_known));
    scarce = scarce || (replica.connections > 0 && usable(replica) < 2 * hosts);
  }
  if (!scarce || !fleet_known) {
    return grants;
  }
  const double each = connections_each(replicas, sharers);
  const std::size_t kept = replicas_kept(each, sharers.rank);
  const std::size_t ahead = whole_for(each * kOpenedAhead, sharers.rank);
  const std::vector<std::size_t> preferred = order(replicas, sharers);
  for (std::size_t i = 0; i < preferred.size(); ++i) {
    LinkGrant& grant = grants[preferred[i]];
    grant.most = kScarceLinks;
    grant.keep = i < kept;
    grant.open_ahead = grant.open_ahead && i < std::min(kept, ahead);
  }
  return grants;
}

}  // namespace

std::vector<LinkGrant> plan_links(const std::vector<Replica>& replicas,
                                  const LinkSharers& sharers) {
  if (!sharers.has_roles()) {
    return plan_alike(replicas, sharers);
  }
  std::vector<Replica> part = replicas;
  for (Replica& replica : part) {
    const double gathered =
        static_cast<double>(replica.connections) * kPartOfGatherers;
    replica.connections = sharers.gathers
                              ? whole(gathered)
                              : replica.connections - whole(gathered);
  }
  LinkSharers group = sharers;
  group.hosts =
      sharers.gathers ? sharers.gatherers : sharers.hosts - sharers.gatherers;
  return plan_alike(part, group);
}

}  // namespace ibismux::dispatch
