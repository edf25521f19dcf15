#include "ibismux/gateway/leaf_groups.h"

#include "ibismux/gateway/rendezvous.h"
#include "ibismux/release/release.h"

namespace ibismux::gateway {

namespace {

/// Leafs of no service.
constexpr std::uint64_t kNoGroup = 0;

void mark(const release::SnapshotView& snapshot,
          std::uint64_t group,
          std::vector<std::uint64_t>& groups) {
  for (const release::ShardView& shard : snapshot.shards) {
    for (const std::uint32_t leaf : shard.replicas) {
      if (leaf < groups.size() && groups[leaf] == kNoGroup) {
        groups[leaf] = group;
      }
    }
  }
}

}  // namespace

std::vector<std::uint64_t> leaf_groups(const release::Release& release) {
  std::vector<std::uint64_t> groups(release.leafs.size(), kNoGroup);
  for (const auto& [name, service] : release.services) {
    const std::uint64_t group = rendezvous_key(name);
    for (const auto& snapshot : service->snapshots) {
      mark(*snapshot, group, groups);
    }
  }
  return groups;
}

}  // namespace ibismux::gateway
