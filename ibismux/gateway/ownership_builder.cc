#include "ibismux/gateway/ownership_builder.h"

#include <utility>

#include "ibismux/gateway/connection_share.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/release/release.h"

namespace ibismux::gateway {

OwnershipBuilder::OwnershipBuilder(const release::Release& release,
                                   const membership::MembershipView& view)
    : table(std::make_shared<OwnershipTable>()) {
  const std::size_t leafs = release.leafs.size();
  this->table->generation = release.generation;
  this->table->self = view.self;
  this->table->members.reserve(view.members.size());
  this->table->leafs.reserve(leafs);
  this->table->first_owner.reserve(leafs + 1);
  this->table->owners.reserve(leafs * kRanks);
  for (const membership::Member& member : view.members) {
    this->table->members.push_back(member.name);
  }
}

void OwnershipBuilder::add(const std::string& leaf,
                           const std::vector<LeafOwner>& owners) {
  this->table->leafs.push_back(leaf);
  for (const LeafOwner& owner : owners) {
    if (owner.connections > 0) {
      this->table->owners.push_back(owner);
    }
  }
  this->table->first_owner.push_back(
      static_cast<std::uint32_t>(this->table->owners.size()));
}

std::shared_ptr<const OwnershipTable> OwnershipBuilder::build() {
  this->table->index.reserve(this->table->leafs.size());
  for (std::uint32_t i = 0; i < this->table->leafs.size(); ++i) {
    this->table->index.emplace(this->table->leafs[i], i);
  }
  return std::move(this->table);
}

}  // namespace ibismux::gateway
