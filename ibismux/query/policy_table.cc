#include "ibismux/query/policy_table.h"

#include <algorithm>

#include "ibismux/query/leaf_stats.h"
#include "ibismux/release/release.h"

namespace ibismux::query {

namespace {

using LeafStatsList = std::vector<std::shared_ptr<LeafStats>>;

bool name_before(const release::BackendServer& leaf, const std::string& name) {
  return leaf.name < name;
}

/// The statistics of the leaf `name` in `old`, or new ones if it has none.
std::shared_ptr<LeafStats> carry_over(const PolicySet& old,
                                      const std::string& name) {
  const auto& leafs = old.release->leafs;
  const auto found =
      std::lower_bound(leafs.begin(), leafs.end(), name, name_before);
  if (found == leafs.end() || found->name != name) {
    return std::make_shared<LeafStats>();
  }
  return (*old.leafs)[static_cast<std::size_t>(found - leafs.begin())];
}

}  // namespace

PolicyTable::PolicyTable(const RcuCell<release::Release>& releases,
                         QueryMetrics& metrics)
    : releases(releases),
      metrics(metrics),
      sets(std::make_shared<const PolicySet>(
          PolicySet{std::make_shared<const release::Release>(),
                    std::make_shared<const LeafStatsList>(),
                    {}})) {}

std::shared_ptr<const PolicySet> PolicyTable::current() {
  std::shared_ptr<const PolicySet> set = this->sets.read();
  return set->release == this->releases.read() ? set : this->rebuild();
}

std::optional<PinnedSnapshot> PolicyTable::newer_snapshot(
    const std::string& service,
    std::uint64_t after_sequence) {
  const std::shared_ptr<const PolicySet> set = this->current();
  const auto found = set->release->services.find(service);
  if (found == set->release->services.end() ||
      found->second->snapshots.empty()) {
    return std::nullopt;
  }
  const auto& newest = found->second->snapshots.front();
  if (newest->sequence <= after_sequence) {
    return std::nullopt;
  }
  return PinnedSnapshot{set->release, newest, set->leafs};
}

std::shared_ptr<const PolicySet> PolicyTable::rebuild() {
  const std::lock_guard lock(this->mutex);
  std::shared_ptr<const PolicySet> old = this->sets.read();
  std::shared_ptr<const release::Release> release = this->releases.read();
  if (old->release == release) {
    return old;
  }
  auto fresh = std::make_shared<PolicySet>();
  auto leafs = std::make_shared<LeafStatsList>();
  leafs->reserve(release->leafs.size());
  for (const release::BackendServer& leaf : release->leafs) {
    leafs->push_back(carry_over(*old, leaf.name));
  }
  for (const auto& [name, service] : release->services) {
    const release::QueryService& spec = service->spec;
    const auto known = old->services.find(name);
    if (known != old->services.end()) {
      known->second->policy.configure(spec.hedge_quantile, spec.hedge_budget);
      fresh->services.emplace(name, known->second);
      continue;
    }
    fresh->services.emplace(
        name, std::shared_ptr<ServiceState>(new ServiceState{
                  ServicePolicy(spec.hedge_quantile, spec.hedge_budget),
                  this->metrics.service(name)}));
  }
  fresh->release = std::move(release);
  fresh->leafs = std::move(leafs);
  this->sets.write(fresh);
  return fresh;
}

}  // namespace ibismux::query
