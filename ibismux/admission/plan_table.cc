#include "ibismux/admission/plan_table.h"

#include <algorithm>
#include <set>

#include "ibismux/admission/load_group.h"
#include "ibismux/base/text_hash.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/release/release.h"

namespace ibismux::admission {

namespace {

/// The adaptive limit of a load group starts at this multiple of this daemon's
/// share of the declared slots.
constexpr double kInitialLimitFactor = 4;
constexpr double kMinInitialLimit = 4;

FleetRank rank_of(const membership::MembershipView& view) {
  FleetRank rank{0, static_cast<std::uint32_t>(view.serving())};
  for (const membership::Member& member : view.members) {
    rank.rank += member.serves() && member.name < view.self ? 1 : 0;
  }
  rank.rank = std::min(rank.rank, rank.count - 1);
  return rank;
}

LimitShare share_of(const release::LimitPolicy& policy, FleetRank rank) {
  const std::uint64_t salt = text_hash(policy.name);
  LimitShare share;
  share.limits_concurrency = policy.concurrency > 0;
  share.concurrency = fleet_share(policy.concurrency, rank, salt);
  for (const release::RateRule& rule : policy.rates) {
    share.rates.push_back(fleet_share(rule.limit, rank, salt));
  }
  return share;
}

PolicyPlan policy_plan(std::shared_ptr<const release::LimitPolicy> policy,
                       const std::string& service,
                       FleetRank rank,
                       LimitCountersTable& counters_table,
                       TimePoint now) {
  PolicyPlan plan;
  plan.share = std::make_shared<const LimitShare>(share_of(*policy, rank));
  if (policy->scope == release::LimitPolicy::Scope::kService) {
    plan.counters = counters_table.get(*policy, service, now);
  }
  plan.policy = std::move(policy);
  return plan;
}

double initial_limit(const LoadGroup& group, FleetRank rank) {
  return std::max(kMinInitialLimit,
                  kInitialLimitFactor * group.slots / rank.count);
}

const ServicePlan* find_plan(const PlanSet& set, const std::string& service) {
  const auto found = set.services.find(service);
  return found == set.services.end() ? nullptr : found->second.get();
}

/// Assigns each load group the limiter that its services had before, so that
/// its learned limits are kept.
class LimiterAssigner {
 public:
  LimiterAssigner(const PlanSet& old, FleetRank rank) : old(old), rank(rank) {}

  std::shared_ptr<LoadLimiter> limiter(const std::string& service,
                                       const LoadGroup& group) {
    std::shared_ptr<LoadLimiter>& limiter = this->limiters[group.name];
    if (limiter == nullptr) {
      const ServicePlan* previous = find_plan(this->old, service);
      // If a group has split, only one part keeps the limiter. If the parts
      // shared it, load on one would shed requests of the other, although they
      // no longer share a leaf.
      limiter =
          previous != nullptr &&
                  this->reused.insert(previous->limiter.get()).second
              ? previous->limiter
              : std::make_shared<LoadLimiter>(initial_limit(group, this->rank));
    }
    return limiter;
  }

 private:
  const PlanSet& old;
  FleetRank rank;
  std::map<std::string, std::shared_ptr<LoadLimiter>> limiters;
  std::set<const LoadLimiter*> reused;
};

}  // namespace

PlanTable::PlanTable(const RcuCell<release::Release>& releases,
                     const RcuCell<membership::MembershipView>& members,
                     LimitCountersTable& counters_table,
                     AdmissionMetrics& metrics)
    : releases(releases),
      members(members),
      counters_table(counters_table),
      metrics(metrics),
      sets(std::make_shared<const PlanSet>()) {}

std::shared_ptr<const PlanSet> PlanTable::current(TimePoint now) {
  std::shared_ptr<const PlanSet> set = this->sets.read();
  return set->release == this->releases.read() &&
                 set->members == this->members.read()
             ? set
             : this->rebuild(now);
}

std::shared_ptr<const PlanSet> PlanTable::rebuild(TimePoint now) {
  const std::lock_guard lock(this->mutex);
  std::shared_ptr<const PlanSet> old = this->sets.read();
  auto next = std::make_shared<PlanSet>();
  next->release = this->releases.read();
  next->members = this->members.read();
  if (old->release == next->release && old->members == next->members) {
    return old;
  }
  const FleetRank rank = rank_of(*next->members);
  LimiterAssigner limiters(*old, rank);
  for (const auto& [name, group] : find_load_groups(*next->release)) {
    const release::ServiceView& service =
        *next->release->services.find(name)->second;
    const ServicePlan* previous = find_plan(*old, name);
    auto plan = std::make_shared<ServicePlan>();
    plan->priority = service.spec.priority;
    for (const auto& policy : service.limits) {
      plan->policies.push_back(
          policy_plan(policy, name, rank, this->counters_table, now));
      plan->policies.back().refusal_counter =
          &this->metrics.refusal_counter(policy->name);
    }
    plan->limiter = limiters.limiter(name, group);
    plan->metrics = previous != nullptr && previous->priority == plan->priority
                        ? previous->metrics
                        : this->metrics.service(name, plan->priority);
    next->services.emplace(name, std::move(plan));
  }
  this->metrics.set_table_size(this->counters_table.size());
  this->sets.write(next);
  return next;
}

}  // namespace ibismux::admission
