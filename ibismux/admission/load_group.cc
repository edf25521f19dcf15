#include "ibismux/admission/load_group.h"

#include <algorithm>
#include <numeric>
#include <vector>

#include "ibismux/release/release.h"

namespace ibismux::admission {

namespace {

/// Disjoint sets of leafs (union-find).
class LeafSets {
 public:
  explicit LeafSets(std::size_t leafs) : parents(leafs) {
    std::iota(this->parents.begin(), this->parents.end(), 0U);
  }

  std::uint32_t root(std::uint32_t leaf) {
    while (this->parents[leaf] != leaf) {
      this->parents[leaf] = this->parents[this->parents[leaf]];
      leaf = this->parents[leaf];
    }
    return leaf;
  }

  void unite(std::uint32_t a, std::uint32_t b) {
    this->parents[this->root(a)] = this->root(b);
  }

 private:
  std::vector<std::uint32_t> parents;
};

/// The newest snapshot of `service`, or null.
const release::SnapshotView* newest_snapshot(
    const release::ServiceView& service) {
  return service.snapshots.empty() ? nullptr : service.snapshots.front().get();
}

/// The first leaf of the newest snapshot of `service`; absent if there is none.
std::optional<std::uint32_t> first_leaf(const release::ServiceView& service) {
  const release::SnapshotView* snapshot = newest_snapshot(service);
  if (snapshot != nullptr) {
    for (const release::ShardView& shard : snapshot->shards) {
      if (!shard.replicas.empty()) {
        return shard.replicas.front();
      }
    }
  }
  return std::nullopt;
}

void unite_leafs(const release::ServiceView& service, LeafSets& sets) {
  const std::optional<std::uint32_t> first = first_leaf(service);
  if (!first.has_value()) {
    return;
  }
  for (const release::ShardView& shard : newest_snapshot(service)->shards) {
    for (const std::uint32_t leaf : shard.replicas) {
      sets.unite(leaf, *first);
    }
  }
}

std::uint32_t min_shard_slots(const release::Release& release,
                              const release::ServiceView& service) {
  std::uint32_t min_slots = 0;
  const release::SnapshotView* snapshot = newest_snapshot(service);
  if (snapshot == nullptr) {
    return min_slots;
  }
  for (const release::ShardView& shard : snapshot->shards) {
    std::uint32_t slots = 0;
    for (const std::uint32_t leaf : shard.replicas) {
      slots += release.leafs[leaf].slots;
    }
    min_slots = min_slots == 0 ? slots : std::min(min_slots, slots);
  }
  return min_slots;
}

}  // namespace

std::map<std::string, LoadGroup> find_load_groups(
    const release::Release& release) {
  LeafSets sets(release.leafs.size());
  for (const auto& [name, service] : release.services) {
    unite_leafs(*service, sets);
  }
  std::map<std::uint32_t, LoadGroup> by_root;
  std::map<std::string, LoadGroup> groups;
  for (const auto& [name, service] : release.services) {
    const std::optional<std::uint32_t> leaf = first_leaf(*service);
    if (!leaf.has_value()) {
      groups.emplace(name, LoadGroup{name, 0});
      continue;
    }
    LoadGroup& group = by_root[sets.root(*leaf)];
    if (group.name.empty()) {
      group.name = name;
    }
    group.slots = std::max(group.slots, min_shard_slots(release, *service));
    groups.emplace(name, group);
  }
  return groups;
}

}  // namespace ibismux::admission
