#ifndef IBISMUX_DISPATCH_LINK_PLAN_H_
#define IBISMUX_DISPATCH_LINK_PLAN_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/zone_sizes.h"

namespace ibismux::dispatch {

/// One leaf of a service, as input to `plan_links()`.
struct Replica {
  std::string zone;
  std::size_t connections = 0;  ///< Limit for all daemons; 0: unknown.
  std::size_t slots = 1;        ///< Requests that it executes at once.
};

/// The daemons that share a service's leafs.
struct LinkSharers {
  std::size_t hosts = 1;  ///< All daemons.
  std::size_t rank = 0;   ///< Of this daemon among all of them, from 0.
  std::string zone;       ///< Of this daemon.
  /// Daemons that gather queries for others, and whether this one does.
  std::size_t gatherers = 0;
  bool gathers = false;
  /// Number of daemons per zone; empty: unknown.
  ZoneSizes hosts_by_zone;

  [[nodiscard]] bool operator==(const LinkSharers&) const = default;
  /// Whether some daemons gather queries for others that don't.
  [[nodiscard]] bool has_roles() const noexcept {
    return this->gatherers > 0 && this->gatherers < this->hosts;
  }
};

/// Links that a daemon may have to one leaf.
struct LinkGrant {
  std::size_t max_links = 1;
  /// Whether idle links stay open. If not, the leaf is used only for calls that
  /// no other leaf can take, and the link is closed after each call.
  bool keep = true;
  /// Whether a link is opened before a call needs it. Only if the connection
  /// limit of the leaf and the number of daemons are known: otherwise every
  /// daemon of a large fleet would open a link to every leaf.
  bool open_ahead = false;
};

/// Divides the connections that the leafs of a service accept among all
/// daemons, without any message between them. A leaf resets connections beyond
/// its limit, and the requests on them are lost.
///
/// If each daemon can have two or more links to each leaf, all daemons get the
/// same number. Otherwise each daemon keeps links to only some of the replicas:
/// first to those of its own zone, then to others by its rank, so that every
/// daemon reaches as many replicas of every service as the limits allow and the
/// daemons are spread evenly over the replicas. If the number of replicas per
/// daemon isn't whole, the fraction determines which part of the daemons,
/// chosen by rank, keeps links to one more.
///
/// Links are opened ahead of calls only to a few replicas, so that their number
/// grows with the number of shards and not with the number of leafs; a daemon
/// whose queries are gathered by others opens none.
///
/// The number of links is also limited to little more than a leaf can execute:
/// a call that waits at the daemon can still be dropped when its caller
/// disconnects or has enough answers, but a call in the queue of a leaf is
/// executed in any case and delays those behind it.
///
/// Thread safe.
[[nodiscard]] std::vector<LinkGrant> plan_links(
    const std::vector<Replica>& replicas,
    const LinkSharers& sharers);

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LINK_PLAN_H_
