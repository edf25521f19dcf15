#include "ibismux/dispatch/service_group.h"

#include <algorithm>
#include <utility>

#include "ibismux/dispatch/dispatch_settings.h"
#include "ibismux/dispatch/leaf.h"
#include "ibismux/dispatch/leaf_cost.h"
#include "ibismux/dispatch/retry_after.h"

namespace ibismux::dispatch {

namespace {

using std::chrono::milliseconds;

// A leaf whose calls have waited this many times the usual without any answer
// counts as unresponsive. One call in a hundred takes that long by itself.
constexpr double kUnresponsiveAfter = 2.5;
constexpr milliseconds kLeastPatience{4};
// An unresponsive leaf is worse than any that answers.
constexpr int kUnresponsiveCost = 1000;

// A leaf of this zone is at ease while its calls take no more than this many
// times the usual, no more of them fail than this share, and it has a slot
// free. It then gets the call, also where one of another zone would answer a
// little sooner: traffic between zones is paid for. The ratio lies between what
// hosts differ in speed and what leafs in trouble take.
constexpr double kEaseRatio = 2;
constexpr double kEaseFailures = 0.1;

Duration patience(const SelectionCriteria& criteria) {
  return std::max<Duration>(kLeastPatience,
                            scaled(criteria.usual, kUnresponsiveAfter));
}

bool is_in(const ZoneNames* zones, const Leaf& leaf) {
  return !zones || zones->contains(leaf.entry().zone);
}

/// May be given calls that are bound to `zones`; null: to none.
bool serves(const Leaf& leaf, const ZoneNames* zones) {
  return leaf.in_service() && is_in(zones, leaf);
}

bool holds(const std::vector<std::shared_ptr<Leaf>>& leafs, const Leaf* leaf) {
  return std::any_of(leafs.begin(), leafs.end(),
                     [leaf](const auto& other) { return other.get() == leaf; });
}

}  // namespace

ServiceGroup::ServiceGroup(std::string name,
                           const DispatchSettings& settings,
                           double repeat_burst)
    : service(std::move(name)),
      settings(settings),
      repeats(repeat_burst, repeat_burst / 2) {}

void ServiceGroup::add(std::shared_ptr<Leaf> leaf) {
  // In one order on all daemons: the plan of links goes by it.
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
                       return serves(*leaf, zones) &&
                              !leaf->is_closed_while_cold(now) &&
                              !holds(tried, leaf.get());
                     });
}

milliseconds ServiceGroup::retry_after(TimePoint now,
                                       const ZoneNames* zones) const {
  Duration soonest = Duration::max();
  for (const auto& leaf : this->members) {
    if (!leaf->is_retired() && !leaf->entry().draining &&
        !leaf->is_evacuated() && is_in(zones, *leaf)) {
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
      .remote = policy.prefer_own_zone && !this->is_own_zone(leaf),
      .keeps_links = leaf.keeps_links(),
      .has_idle_link = leaf.has_idle_link()};
  return leaf_cost(state, criteria.usual, criteria.objective,
                   this->settings.remote_cost);
}

bool ServiceGroup::is_own_zone(const Leaf& leaf) const noexcept {
  return leaf.entry().zone == this->settings.zone;
}

std::optional<ZoneExit> ServiceGroup::what_rules_out(
    const Leaf& leaf,
    const SelectionCriteria& criteria) {
  if (!serves(leaf, criteria.zones)) {
    return ZoneExit::kNoLeaf;
  }
  if (criteria.tried && holds(*criteria.tried, &leaf)) {
    return ZoneExit::kTried;
  }
  if (!leaf.has_room()) {
    return ZoneExit::kNoRoom;
  }
  return std::nullopt;
}

ZoneExit ServiceGroup::what_keeps_from(const Leaf& leaf,
                                       const SelectionCriteria& criteria,
                                       TimePoint now) const {
  if (const auto ruled_out = what_rules_out(leaf, criteria)) {
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
      closest = std::max(closest, this->what_keeps_from(*leaf, criteria, now));
    }
  }
  return closest;
}

bool ServiceGroup::is_unresponsive(const Leaf& leaf,
                                   const SelectionCriteria& criteria,
                                   TimePoint now) const {
  return this->settings.policy.avoid_unresponsive &&
         leaf.estimate().is_unresponsive(patience(criteria), now);
}

bool ServiceGroup::is_at_ease(const Leaf& leaf,
                              const SelectionCriteria& criteria,
                              TimePoint now) const {
  return leaf.active_calls() < leaf.entry().slots && leaf.keeps_links() &&
         leaf.estimate().ratio(now) <= kEaseRatio &&
         leaf.estimate().failure_share(now) <= kEaseFailures &&
         !this->is_unresponsive(leaf, criteria, now);
}

std::shared_ptr<Leaf> ServiceGroup::cheapest(const SelectionCriteria& criteria,
                                             TimePoint now,
                                             bool only_at_ease_here) const {
  std::shared_ptr<Leaf> best;
  Duration least = Duration::max();
  for (const auto& leaf : this->members) {
    if (what_rules_out(*leaf, criteria) ||
        (only_at_ease_here && !(this->is_own_zone(*leaf) &&
                                this->is_at_ease(*leaf, criteria, now)))) {
      continue;
    }
    Duration cost = this->cost(*leaf, criteria, now);
    if (this->is_unresponsive(*leaf, criteria, now)) {
      if (criteria.is_repeat) {
        continue;
      }
      cost *= kUnresponsiveCost;
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
  if (this->settings.policy.prefer_own_zone) {
    if (auto here = this->cheapest(criteria, now, true)) {
      return here;
    }
  }
  return this->cheapest(criteria, now, false);
}

void ServiceGroup::count_first() noexcept {
  this->repeats.deposit(1, this->settings.repeat_share);
}

void ServiceGroup::serve_waiting() {
  this->waiting.start_waiting([this] {
    return std::any_of(this->members.begin(), this->members.end(),
                       [](const auto& leaf) {
                         return leaf->in_service() && leaf->has_room();
                       });
  });
  this->await_warmer_leafs();
}

void ServiceGroup::await_warmer_leafs() {
  if (this->waiting.empty()) {
    return;
  }
  for (const auto& leaf : this->members) {
    leaf->notify_when_allowed();
  }
}

Duration ServiceGroup::expected_wait(std::uint32_t priority,
                                     const ZoneNames* zones) const {
  const std::size_t ahead = this->waiting.count_ahead(priority);
  if (ahead == 0) {
    return Duration::zero();
  }
  std::size_t at_once = 0;
  for (const auto& leaf : this->members) {
    at_once += serves(*leaf, zones) ? leaf->max_calls() : 0;
  }
  return this->call_time.value() * (ahead + 1) /
         std::max<std::size_t>(1, at_once);
}

}  // namespace ibismux::dispatch
