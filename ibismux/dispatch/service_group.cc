#include "ibismux/dispatch/service_group.h"

#include <algorithm>
#include <utility>

#include "ibismux/base/text_hash.h"
#include "ibismux/dispatch/dispatch_settings.h"
#include "ibismux/dispatch/leaf.h"
#include "ibismux/dispatch/leaf_cost.h"
#include "ibismux/dispatch/retry_after.h"

namespace ibismux::dispatch {

namespace {

using std::chrono::milliseconds;

// A leaf is unresponsive once its calls have waited for this multiple of the
// typical latency without any answer. One call in a hundred takes that long at
// a healthy leaf.
constexpr double kUnresponsiveLatencyRatio = 2.5;
constexpr milliseconds kMinUnresponsiveWait{4};
// Large enough to rank an unresponsive leaf behind every responsive one.
constexpr int kUnresponsiveCostFactor = 1000;

// A leaf counts as healthy up to this ratio of its latency to the typical one
// and up to this share of failed calls. A healthy leaf of this zone with a free
// slot is chosen even if a leaf of another zone would answer a little sooner,
// because traffic between zones is charged for. The ratio is larger than the
// differences in speed between hosts and smaller than the slowdown of an
// overloaded or failing leaf.
constexpr double kMaxHealthyLatencyRatio = 2;
constexpr double kMaxHealthyFailureShare = 0.1;

Duration unresponsive_after(const SelectionCriteria& criteria) {
  return std::max<Duration>(
      kMinUnresponsiveWait,
      scaled(criteria.typical_latency, kUnresponsiveLatencyRatio));
}

bool is_in_zones(const ZoneNames* zones, const Leaf& leaf) {
  return !zones || zones->contains(leaf.entry().zone);
}

/// Whether the leaf may be given calls restricted to `zones`; null: to any
/// zone.
bool is_eligible(const Leaf& leaf, const ZoneNames* zones) {
  return leaf.in_service() && is_in_zones(zones, leaf);
}

bool includes(const std::vector<std::shared_ptr<Leaf>>& leafs,
              const Leaf* leaf) {
  return std::any_of(leafs.begin(), leafs.end(),
                     [leaf](const auto& other) { return other.get() == leaf; });
}

}  // namespace

ServiceGroup::ServiceGroup(std::string name,
                           const DispatchSettings& settings,
                           double repeat_burst)
    : service(std::move(name)),
      settings(settings),
      first_choice(text_hash(settings.member, text_hash(this->service))),
      repeats(repeat_burst, repeat_burst / 2) {}

void ServiceGroup::add(std::shared_ptr<Leaf> leaf) {
  // Sorted by id, because plan_links() needs the same order on all daemons.
  const auto place = std::find_if(
      this->members.begin(), this->members.end(), [&leaf](const auto& other) {
        return leaf->entry().run.id < other->entry().run.id;
      });
  this->members.insert(place, std::move(leaf));
  this->serve_waiting();
}

void ServiceGroup::remove(const Leaf& leaf) {
  std::erase_if(this->members,
                [&leaf](const auto& member) { return member.get() == &leaf; });
}

bool ServiceGroup::can_serve(
    const ZoneNames* zones,
    const std::vector<std::shared_ptr<Leaf>>& tried) const noexcept {
  const TimePoint now = Clock::now();
  return std::any_of(this->members.begin(), this->members.end(),
                     [&tried, zones, now](const auto& leaf) {
                       return is_eligible(*leaf, zones) &&
                              !leaf->is_closed_while_cold(now) &&
                              !includes(tried, leaf.get());
                     });
}

milliseconds ServiceGroup::retry_after(TimePoint now,
                                       const ZoneNames* zones) const {
  Duration soonest = Duration::max();
  for (const auto& leaf : this->members) {
    if (!leaf->is_retired() && !leaf->entry().draining &&
        !leaf->is_evacuated() && is_in_zones(zones, *leaf)) {
      soonest = std::min(soonest, leaf->until_retry(now));
    }
  }
  return dispatch::retry_after(soonest);
}

Duration ServiceGroup::cost(const Leaf& leaf,
                            const SelectionCriteria& criteria,
                            TimePoint now) const {
  const directory::LeafEntry& entry = leaf.entry();
  const DispatchPolicy& policy = this->settings.policy;
  const LeafCostFactors state{
      .ratio = leaf.estimate().ratio(now),
      .failure_share = leaf.estimate().failure_share(now),
      .active_calls = leaf.active_calls(),
      .slots = entry.slots,
      .cold = policy.weigh_cold && entry.warmup_left.count() > 0,
      .remote = policy.prefer_own_zone && !criteria.fastest &&
                !this->is_own_zone(leaf),
      .keeps_links = leaf.keeps_links(),
      .has_idle_link = leaf.has_idle_link()};
  return leaf_cost(state, criteria.typical_latency, criteria.objective,
                   this->settings.remote_cost);
}

bool ServiceGroup::is_own_zone(const Leaf& leaf) const noexcept {
  return leaf.entry().zone == this->settings.zone;
}

std::optional<ZoneExit> ServiceGroup::exclusion_reason(
    const Leaf& leaf,
    const SelectionCriteria& criteria) {
  if (!is_eligible(leaf, criteria.zones)) {
    return ZoneExit::kNoLeaf;
  }
  if (criteria.tried && includes(*criteria.tried, &leaf)) {
    return ZoneExit::kTried;
  }
  if (!leaf.has_room()) {
    return ZoneExit::kNoRoom;
  }
  return std::nullopt;
}

ZoneExit ServiceGroup::zone_exit_due_to(const Leaf& leaf,
                                        const SelectionCriteria& criteria,
                                        TimePoint now) const {
  if (const auto ruled_out = exclusion_reason(leaf, criteria)) {
    return *ruled_out;
  }
  return this->is_unresponsive(leaf, criteria, now) ? ZoneExit::kUnresponsive
                                                    : ZoneExit::kSlower;
}

ZoneExit ServiceGroup::zone_exit(const Leaf& chosen,
                                 const SelectionCriteria& criteria,
                                 TimePoint now) const {
  if (this->is_own_zone(chosen)) {
    return ZoneExit::kStays;
  }
  ZoneExit closest = ZoneExit::kNoLeaf;
  for (const auto& leaf : this->members) {
    if (this->is_own_zone(*leaf)) {
      closest = std::max(closest, this->zone_exit_due_to(*leaf, criteria, now));
    }
  }
  return closest;
}

bool ServiceGroup::is_unresponsive(const Leaf& leaf,
                                   const SelectionCriteria& criteria,
                                   TimePoint now) const {
  return this->settings.policy.avoid_unresponsive &&
         leaf.estimate().is_unresponsive(unresponsive_after(criteria), now);
}

bool ServiceGroup::is_healthy_with_free_slot(const Leaf& leaf,
                                             const SelectionCriteria& criteria,
                                             TimePoint now) const {
  return leaf.active_calls() < leaf.entry().slots && leaf.keeps_links() &&
         leaf.estimate().ratio(now) <= kMaxHealthyLatencyRatio &&
         leaf.estimate().failure_share(now) <= kMaxHealthyFailureShare &&
         !this->is_unresponsive(leaf, criteria, now);
}

std::shared_ptr<Leaf> ServiceGroup::cheapest(
    const SelectionCriteria& criteria,
    TimePoint now,
    bool only_healthy_in_own_zone) const {
  std::shared_ptr<Leaf> best;
  Duration least = Duration::max();
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    const auto& leaf =
        this->members[(this->first_choice + i) % this->members.size()];
    if (exclusion_reason(*leaf, criteria) ||
        (only_healthy_in_own_zone &&
         !(this->is_own_zone(*leaf) &&
           this->is_healthy_with_free_slot(*leaf, criteria, now)))) {
      continue;
    }
    Duration cost = this->cost(*leaf, criteria, now);
    if (this->is_unresponsive(*leaf, criteria, now)) {
      if (criteria.is_repeat) {
        continue;
      }
      cost *= kUnresponsiveCostFactor;
    }
    if (cost < least) {
      least = cost;
      best = leaf;
    }
  }
  return best;
}

std::shared_ptr<Leaf> ServiceGroup::choose(const SelectionCriteria& criteria,
                                           TimePoint now) const {
  if (this->settings.policy.prefer_own_zone && !criteria.fastest) {
    if (auto own_zone_leaf = this->cheapest(criteria, now, true)) {
      return own_zone_leaf;
    }
  }
  return this->cheapest(criteria, now, false);
}

void ServiceGroup::record_first_attempt() noexcept {
  this->repeats.deposit(1, this->settings.repeat_share);
}

void ServiceGroup::serve_waiting() {
  this->waiting.start_waiting([this] {
    return std::any_of(this->members.begin(), this->members.end(),
                       [](const auto& leaf) {
                         return leaf->in_service() && leaf->has_room();
                       });
  });
  this->schedule_queue_retry();
}

void ServiceGroup::schedule_queue_retry() {
  if (this->waiting.empty()) {
    return;
  }
  for (const auto& leaf : this->members) {
    leaf->notify_when_allowed();
  }
}

Duration ServiceGroup::expected_wait(std::uint32_t priority,
                                     const fairness::Share& share,
                                     const ZoneNames* zones) const {
  const std::size_t ahead = this->waiting.count_ahead(priority, share);
  if (ahead == 0) {
    return Duration::zero();
  }
  std::size_t concurrency = 0;
  for (const auto& leaf : this->members) {
    concurrency += is_eligible(*leaf, zones) ? leaf->max_calls() : 0;
  }
  return this->call_time.value() * (ahead + 1) /
         std::max<std::size_t>(1, concurrency);
}

}  // namespace ibismux::dispatch
