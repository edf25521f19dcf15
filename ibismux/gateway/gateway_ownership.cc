#include "ibismux/gateway/gateway_ownership.h"

#include <algorithm>
#include <array>
#include <cstdint>

#include "ibismux/gateway/connection_share.h"
#include "ibismux/gateway/ownership_builder.h"
#include "ibismux/gateway/rendezvous.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/release/release.h"

namespace ibismux::gateway {

namespace {

struct Candidate {
  std::uint32_t member = 0;
  std::uint64_t key = 0;
  std::string_view zone;
};

/// A member's place in the order for one leaf.
struct Place {
  bool same_zone = false;
  std::uint64_t score = 0;
  std::uint32_t member = 0;

  [[nodiscard]] bool before(const Place& other) const noexcept {
    if (this->same_zone != other.same_zone) {
      return this->same_zone;
    }
    return this->score > other.score;
  }
};

std::vector<Candidate> candidates_of(const membership::MembershipView& view) {
  std::vector<Candidate> candidates;
  for (std::uint32_t i = 0; i < view.members.size(); ++i) {
    const membership::Member& member = view.members[i];
    if (member.serves()) {
      candidates.push_back({i, rendezvous_key(member.name), member.zone});
    }
  }
  return candidates;
}

std::vector<LeafOwner> owners_for(const release::BackendServer& leaf,
                                  const std::vector<Candidate>& candidates) {
  const std::uint64_t key = rendezvous_key(leaf.name);
  std::array<Place, kRanks> first{};
  std::size_t found = 0;
  for (const Candidate& candidate : candidates) {
    Place place{candidate.zone == leaf.zone,
                rendezvous_score(key, candidate.key), candidate.member};
    for (std::size_t rank = 0; rank < found; ++rank) {
      if (place.before(first[rank])) {
        std::swap(place, first[rank]);
      }
    }
    if (found < first.size()) {
      first[found++] = place;
    }
  }
  std::vector<LeafOwner> owners;
  for (std::uint32_t rank = 0; rank < found; ++rank) {
    owners.push_back({first[rank].member, rank_share(leaf.connections, rank)});
  }
  return owners;
}

}  // namespace

std::shared_ptr<const OwnershipTable> GatewayOwnership::assign(
    const release::Release& release,
    const membership::MembershipView& view) const {
  OwnershipBuilder builder(view);
  const std::vector<Candidate> candidates = candidates_of(view);
  for (const release::BackendServer& leaf : release.leafs) {
    builder.add(leaf.name, owners_for(leaf, candidates));
  }
  return builder.build();
}

}  // namespace ibismux::gateway
