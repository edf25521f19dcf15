#ifndef IBISMUX_DISPATCH_LINK_PLAN_H_
#define IBISMUX_DISPATCH_LINK_PLAN_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/zone_sizes.h"

namespace ibismux::dispatch {

/// One leaf of a service, as a plan of links needs it.
struct Replica {
  std::string zone;
  std::size_t connections = 0;  ///< Accepted from all daemons; 0: unknown.
  std::size_t slots = 1;        ///< Requests that it works on at once.
};

/// The daemons that share a service's leafs.
struct LinkSharers {
  std::size_t hosts = 1;  ///< All daemons.
  std::size_t rank = 0;   ///< This daemon's place in an order of all of them.
  std::string zone;       ///< This daemon's.
  /// Daemons that gather queries for others, and whether this one does.
  std::size_t gatherers = 0;
  bool gathers = false;
  /// Daemons of each zone; empty: unknown.
  ZoneSizes hosts_by_zone;

  [[nodiscard]] bool operator==(const LinkSharers&) const = default;
  /// Some daemons gather queries, for others that don't.
  [[nodiscard]] bool has_roles() const noexcept {
    return this->gatherers > 0 && this->gatherers < this->hosts;
  }
};

/// What a daemon may do at one leaf.
struct LinkGrant {
  std::size_t most = 1;
  /// Idle links stay open. Elsewhere the leaf is only for calls that no other
  /// leaf can take, and the link is closed behind each.
  bool keep = true;
  /// One is opened before a call needs it. Only where the leaf's limit and the
  /// number of daemons are known: else all of a large fleet would do so at
  /// every leaf.
  bool open_ahead = false;
};

/// Divides the connections that a service's leafs accept among all daemons,
/// without any message between them: a leaf resets connections beyond its
/// limit, and the requests on them with it.
///
/// Where there are two and more for each daemon, all get the same. Where there
/// are fewer, each daemon keeps links to some of the replicas only: first to
/// those of its own zone, then to others by its rank, so that every daemon has
/// as many replicas of every service as there is room for, and every replica
/// about as many daemons. Where there is room for a part of one more, that part
/// of the daemons has it, chosen by rank.
///
/// Nor are there ever many more links than a leaf can work on: what waits at
/// the daemon can still be dropped when its caller leaves or has enough
/// answers; what waits in the leaf's own queue is worked on all the same, and
/// makes the next ones late.
///
/// Thread safe.
[[nodiscard]] std::vector<LinkGrant> plan_links(
    const std::vector<Replica>& replicas,
    const LinkSharers& sharers);

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LINK_PLAN_H_
