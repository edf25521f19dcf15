#include "ibismux/gateway/gateway_ownership.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <span>
#include <string>
#include <tuple>

#include "ibismux/gateway/bounded_matching.h"
#include "ibismux/gateway/connection_share.h"
#include "ibismux/gateway/leaf_groups.h"
#include "ibismux/gateway/ownership_builder.h"
#include "ibismux/gateway/rendezvous.h"
#include "ibismux/gateway/zone_ring.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/release/release.h"

namespace ibismux::gateway {

namespace {

/// One leaf on its way to an owner.
struct Placement {
  std::uint64_t group = 0;
  std::uint64_t key = 0;
  std::uint32_t leaf = 0;  ///< Position in the release.

  [[nodiscard]] bool operator<(const Placement& other) const noexcept {
    return std::tie(this->group, this->key, this->leaf) <
           std::tie(other.group, other.key, other.leaf);
  }
};

/// An availability zone with daemons that serve, and the leafs they own.
struct Zone {
  std::uint64_t key = 0;
  ZoneRing ring;
  std::vector<Placement> leafs;
};

using Zones = std::map<std::string, Zone, std::less<>>;

/// The members that may reach one leaf, first choice first.
class RankedMembers {
 public:
  [[nodiscard]] std::span<const std::uint32_t> all() const noexcept {
    return std::span(this->members).first(this->count);
  }
  [[nodiscard]] std::size_t size() const noexcept { return this->count; }

  /// Precondition: fewer than `kRanks` are here. One that is here stays once.
  void add(std::uint32_t member) noexcept {
    const auto here = this->all();
    if (std::find(here.begin(), here.end(), member) == here.end()) {
      this->members[this->count++] = member;
    }
  }

 private:
  std::array<std::uint32_t, kRanks> members{};
  std::size_t count = 0;
};

Zones zones_of(const membership::MembershipView& view) {
  std::map<std::string, std::vector<ZoneRing::Seat>> seats;
  for (std::uint32_t i = 0; i < view.members.size(); ++i) {
    const membership::Member& member = view.members[i];
    if (member.serves()) {
      seats[member.zone].push_back({rendezvous_key(member.name), i});
    }
  }
  Zones zones;
  for (auto& [name, list] : seats) {
    zones.emplace(name,
                  Zone{rendezvous_key(name), ZoneRing(std::move(list)), {}});
  }
  return zones;
}

/// The zone that comes first for `key`, leaving out `except`; null where there
/// is no other.
Zone* first_zone(Zones& zones, std::uint64_t key, const Zone* except) {
  Zone* best = nullptr;
  std::uint64_t best_score = 0;
  for (auto& [name, zone] : zones) {
    const std::uint64_t score = rendezvous_score(key, zone.key);
    if (&zone != except && (best == nullptr || score > best_score)) {
      best = &zone;
      best_score = score;
    }
  }
  return best;
}

void place_leafs(const release::Release& release, Zones& zones) {
  const std::vector<std::uint64_t> groups = leaf_groups(release);
  for (std::uint32_t i = 0; i < release.leafs.size(); ++i) {
    const release::BackendServer& leaf = release.leafs[i];
    const auto own = zones.find(leaf.zone);
    // A zone without daemons lends its leafs out by group, so that they spread
    // over the others and still stay together.
    Zone* zone = own != zones.end() ? &own->second
                                    : first_zone(zones, groups[i], nullptr);
    zone->leafs.push_back({groups[i], rendezvous_key(leaf.name), i});
  }
}

/// Positions for `count` leafs, evenly around the ring from `origin` on.
std::vector<std::uint64_t> even_positions(std::uint64_t origin,
                                          std::size_t count) {
  const std::uint64_t step = std::numeric_limits<std::uint64_t>::max() /
                             std::max<std::size_t>(count, 1);
  std::vector<std::uint64_t> positions;
  positions.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    positions.push_back(origin + step * i);
  }
  return positions;
}

/// Adds the members of `ring` that are nearest to `position`, until `owners`
/// has `most` or the ring has no more.
void add_nearest(const ZoneRing& ring,
                 std::uint64_t position,
                 std::size_t most,
                 RankedMembers& owners) {
  for (ZoneRing::Walk walk(ring, position);
       !walk.done() && owners.size() < most; walk.advance()) {
    owners.add(ring.member(walk.seat()));
  }
}

void own_zone(Zones& zones, Zone& zone, std::vector<RankedMembers>& owners) {
  std::sort(zone.leafs.begin(), zone.leafs.end());
  const std::vector<std::uint64_t> positions =
      even_positions(zone.key, zone.leafs.size());
  const std::vector<std::uint32_t> seats = match_bounded(
      zone.ring, positions, leaf_capacity(zone.leafs.size(), zone.ring.size()));
  const Zone* other = nullptr;
  for (std::size_t i = 0; i < zone.leafs.size(); ++i) {
    // The last rank is of another zone, for when this one is lost whole.
    if (i == 0 || zone.leafs[i].group != zone.leafs[i - 1].group) {
      other = first_zone(zones, zone.leafs[i].group, &zone);
    }
    RankedMembers& list = owners[zone.leafs[i].leaf];
    list.add(zone.ring.member(seats[i]));
    add_nearest(zone.ring, positions[i], other ? kRanks - 1 : kRanks, list);
    if (other != nullptr) {
      add_nearest(other->ring, positions[i], kRanks, list);
    }
  }
}

}  // namespace

std::shared_ptr<const OwnershipTable> GatewayOwnership::assign(
    const release::Release& release,
    const membership::MembershipView& view) const {
  std::vector<RankedMembers> owners(release.leafs.size());
  Zones zones = zones_of(view);
  if (!zones.empty()) {
    place_leafs(release, zones);
    for (auto& [name, zone] : zones) {
      own_zone(zones, zone, owners);
    }
  }
  OwnershipBuilder builder(release, view);
  std::vector<LeafOwner> list;
  for (std::size_t i = 0; i < owners.size(); ++i) {
    list.clear();
    for (const std::uint32_t member : owners[i].all()) {
      const auto rank = static_cast<std::uint32_t>(list.size());
      list.push_back({member, rank_share(release.leafs[i].connections, rank)});
    }
    builder.add(release.leafs[i].name, list);
  }
  return builder.build();
}

}  // namespace ibismux::gateway
