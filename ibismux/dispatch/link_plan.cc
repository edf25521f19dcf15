#include "ibismux/dispatch/link_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ibismux::dispatch {

namespace {

// Share of a leaf's connection limit that daemons use; the rest is for links
// that are being closed and for daemons that have just been replaced.
constexpr double kUsableShare = 0.9;
// Number of replicas of a shard to which a daemon keeps links if the limits
// allow it: the second replaces a failed first one; a third is rarely needed.
constexpr std::size_t kReplicasWanted = 2;
// Share of a leaf's connection limit that is kept open if only some daemons can
// keep links to `kReplicasWanted` replicas. Less than `kUsableShare`, because
// hedged calls of the other daemons open connections too.
constexpr double kPartlyUsableShare = 0.8;
// Share of a leaf's connection limit that is opened ahead of calls. After a
// power loss of the fleet, leafs hold the old connections until their idle
// timeout, so that the old and the new connections must fit at the same time.
constexpr double kOpenAheadShare = 0.45;
// Number of replicas of a shard to which one daemon opens links ahead of calls,
// however many its share would allow: a call and its hedge need two, and one
// may be paused or away. The calls of one daemon don't keep more links in use,
// so that leafs would close the others, and the daemon open them again.
constexpr std::size_t kMaxReplicasAhead = 3;
// Links of all daemons together per slot of a leaf, and the minimum for one
// daemon: one for a call being executed, one for a waiting call, and one for a
// call caught in a pause.
constexpr double kLinksPerSlot = 2;
constexpr double kMinUsefulLinks = 3;

// Share of a leaf's connection limit for the daemons that gather queries for
// others, if there are any; the others need the rest when they gather queries
// themselves.
constexpr double kGathererShare = 0.5;

// Links per leaf if an even share is less than two links per daemon. A leaf's
// connection limit is mostly used up by idle links, so a daemon may open more
// than its share for current calls, but keeps only its share.
constexpr std::size_t kScarceLinks = 1;

std::size_t floor_to_size(double number) {
  return static_cast<std::size_t>(std::max(0.0, number));
}

double usable(const Replica& replica) {
  return static_cast<double>(replica.connections) * kUsableShare;
}

/// Indices of the replicas in this daemon's order of preference.
std::vector<std::size_t> preference_order(const std::vector<Replica>& replicas,
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

/// @param open_ahead Applies only if the connection limit is known.
LinkGrant even_grant(const Replica& replica, double hosts, bool open_ahead) {
  if (replica.connections == 0) {
    return {};
  }
  const double useful = std::max(
      kMinUsefulLinks,
      std::ceil(kLinksPerSlot * static_cast<double>(replica.slots) / hosts));
  const double share = std::min(usable(replica) / hosts, useful);
  return {.max_links = std::max<std::size_t>(1, floor_to_size(share)),
          .keep = true,
          .open_ahead = open_ahead};
}

/// Connections to all replicas per daemon.
double connections_per_host(const std::vector<Replica>& replicas,
                            const LinkSharers& sharers) {
  double connections = 0;
  for (const Replica& replica : replicas) {
    connections += static_cast<double>(replica.connections);
  }
  return connections / static_cast<double>(sharers.hosts);
}

/// Rounds `room`, the average number of replicas per daemon, for the daemon of
/// this rank: the fraction is the share of the daemons that get one more.
std::size_t round_by_rank(double room, std::size_t rank) {
  // The fractional parts of multiples of the golden ratio spread any sequence
  // of ranks evenly over [0, 1), independently of other decisions by rank.
  constexpr double kGoldenRatio = 0.6180339887498949;
  const double place = static_cast<double>(rank) * kGoldenRatio;
  const bool one_more = place - std::floor(place) < room - std::floor(room);
  return floor_to_size(room) + (one_more ? 1 : 0);
}

/// The number of replicas to which a daemon keeps links.
std::size_t kept_replica_count(double per_host, std::size_t rank) {
  const std::size_t all = floor_to_size(per_host * kUsableShare);
  if (all >= kReplicasWanted) {
    return all;
  }
  return std::max<std::size_t>(
      1, round_by_rank(per_host * kPartlyUsableShare, rank));
}

/// Leaves links to few replicas, the preferred ones, to be opened ahead.
void limit_open_ahead(std::vector<LinkGrant>& grants,
                      const std::vector<Replica>& replicas,
                      const LinkSharers& sharers) {
  const std::vector<std::size_t> preferred =
      preference_order(replicas, sharers);
  std::size_t ahead = 0;
  for (const std::size_t index : preferred) {
    LinkGrant& grant = grants[index];
    grant.open_ahead = grant.open_ahead && ahead < kMaxReplicasAhead;
    ahead += grant.open_ahead ? 1 : 0;
  }
}

/// The plan if all of `sharers` make about the same number of calls.
std::vector<LinkGrant> plan_uniform(const std::vector<Replica>& replicas,
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
  const double per_host = connections_per_host(replicas, sharers);
  const std::size_t kept = kept_replica_count(per_host, sharers.rank);
  const std::size_t ahead =
      round_by_rank(per_host * kOpenAheadShare, sharers.rank);
  const std::vector<std::size_t> preferred =
      preference_order(replicas, sharers);
  for (std::size_t i = 0; i < preferred.size(); ++i) {
    LinkGrant& grant = grants[preferred[i]];
    grant.max_links = kScarceLinks;
    grant.keep = i < kept;
    grant.open_ahead = grant.open_ahead && i < std::min(kept, ahead);
  }
  return grants;
}

}  // namespace

std::vector<LinkGrant> plan_links(const std::vector<Replica>& replicas,
                                  const LinkSharers& sharers) {
  if (!sharers.has_roles()) {
    std::vector<LinkGrant> grants = plan_uniform(replicas, sharers);
    limit_open_ahead(grants, replicas, sharers);
    return grants;
  }
  std::vector<Replica> part = replicas;
  for (Replica& replica : part) {
    const double gathered =
        static_cast<double>(replica.connections) * kGathererShare;
    replica.connections = sharers.gathers
                              ? floor_to_size(gathered)
                              : replica.connections - floor_to_size(gathered);
  }
  LinkSharers group = sharers;
  group.hosts =
      sharers.gathers ? sharers.gatherers : sharers.hosts - sharers.gatherers;
  std::vector<LinkGrant> grants = plan_uniform(part, group);
  limit_open_ahead(grants, part, group);
  if (!sharers.gathers) {
    // Its queries are gathered elsewhere while a gatherer can be reached.
    for (LinkGrant& grant : grants) {
      grant.open_ahead = false;
    }
  }
  return grants;
}

}  // namespace ibismux::dispatch
