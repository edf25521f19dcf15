#include "ibismux/gateway/direct_ownership.h"

#include <algorithm>
#include <cstdint>

#include "ibismux/gateway/connection_share.h"
#include "ibismux/gateway/ownership_builder.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/release/release.h"

namespace ibismux::gateway {

std::shared_ptr<const OwnershipTable> DirectOwnership::assign(
    const release::Release& release,
    const membership::MembershipView& view) const {
  OwnershipBuilder builder(release, view);
  const auto self = std::find_if(
      view.members.begin(), view.members.end(),
      [&](const membership::Member& m) { return m.name == view.self; });
  const auto count = static_cast<std::uint32_t>(view.members.size());
  for (const release::BackendServer& leaf : release.leafs) {
    std::vector<LeafOwner> owners;
    if (self != view.members.end()) {
      owners.push_back({static_cast<std::uint32_t>(self - view.members.begin()),
                        direct_share(leaf.connections, count)});
    }
    builder.add(leaf.name, owners);
  }
  return builder.build();
}

}  // namespace ibismux::gateway
