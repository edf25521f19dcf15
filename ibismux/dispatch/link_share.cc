#include "ibismux/dispatch/link_share.h"

#include <xxhash.h>

#include <algorithm>

namespace ibismux::dispatch {

namespace {

// Part of a leaf's connections that daemons use; the rest is for links that are
// just closing and for daemons that were replaced a moment ago.
constexpr double kUsable = 0.9;
// Part of the usable ones that a leaf's own zone may take where there are few.
constexpr double kOwnZone = 0.6;

std::size_t whole(double number) {
  return static_cast<std::size_t>(std::max(0.0, number));
}

/// In [0, 1), the same on every daemon and at every start.
double place_of(std::string_view self, std::string_view leaf) {
  const XXH64_hash_t seed = XXH3_64bits(self.data(), self.size());
  const XXH64_hash_t hash =
      XXH3_64bits_withSeed(leaf.data(), leaf.size(), seed);
  return static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
}

}  // namespace

std::size_t link_share(std::size_t connections,
                       const LinkSharers& sharers,
                       std::string_view self,
                       std::string_view leaf) {
  if (connections == 0) {
    return 1;
  }
  const double usable = static_cast<double>(connections) * kUsable;
  const double hosts = std::max<double>(1, sharers.hosts);
  if (usable >= 2 * hosts) {
    return whole(usable / hosts);
  }
  const double zone_hosts =
      std::clamp<double>(static_cast<double>(sharers.zone_hosts), 1, hosts);
  const double own = std::max(1.0, usable * kOwnZone / zone_hosts);
  if (sharers.same_zone) {
    return whole(own);
  }
  const double others = std::max(1.0, hosts - zone_hosts);
  const double left =
      (usable - std::min(usable, whole(own) * zone_hosts)) / others;
  if (left >= 1) {
    return whole(left);
  }
  return place_of(self, leaf) < left ? 1 : 0;
}

}  // namespace ibismux::dispatch
