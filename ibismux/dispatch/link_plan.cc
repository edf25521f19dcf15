#include "ibismux/dispatch/link_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ibismux::dispatch {

namespace {

// Part of a leaf's connections that daemons use; the rest is for links that are
// just closing and for daemons that were replaced a moment ago.
constexpr double kUsable = 0.9;
// Links of all daemons together for each slot of a leaf, and the fewest for one
// daemon: one at work, one waiting, one for a call that pauses. Six links in
// place of three, at leafs of five slots and six daemons, cost 0.01 to 0.02 of
// the share of requests in time on days with slow or missing leafs.
constexpr double kLinksPerSlot = 2;
constexpr double kLeastUseful = 3;

// Where a daemon's even part is below two links. Idle links are what fills a
// leaf's connections: with 77 daemons at 70 connections a leaf, each daemon's
// calls took a quarter of a link at a leaf of another zone. So a daemon may
// open more than its part for calls at hand, and keeps its part only.
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

LinkGrant even_grant(const Replica& replica, double hosts) {
  if (replica.connections == 0) {
    return {};
  }
  const double useful = std::max(
      kLeastUseful,
      std::ceil(kLinksPerSlot * static_cast<double>(replica.slots) / hosts));
  const double share = std::min(usable(replica) / hosts, useful);
  return {std::max<std::size_t>(1, whole(share)), true};
}

}  // namespace

std::vector<LinkGrant> plan_links(const std::vector<Replica>& replicas,
                                  const LinkSharers& sharers) {
  const double hosts = std::max<double>(1, static_cast<double>(sharers.hosts));
  std::vector<LinkGrant> grants;
  double total = 0;
  bool scarce = false;
  for (const Replica& replica : replicas) {
    grants.push_back(even_grant(replica, hosts));
    total += usable(replica);
    scarce = scarce || (replica.connections > 0 && usable(replica) < 2 * hosts);
  }
  if (!scarce || sharers.hosts_by_zone.empty()) {
    return grants;
  }
  const std::size_t kept = std::clamp<std::size_t>(
      whole(total / hosts), 1, std::max<std::size_t>(1, replicas.size()));
  const std::vector<std::size_t> preferred = order(replicas, sharers);
  for (std::size_t i = 0; i < preferred.size(); ++i) {
    grants[preferred[i]] = {kScarceLinks, i < kept};
  }
  return grants;
}

}  // namespace ibismux::dispatch
