#include "ibismux/dispatch/service_group.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "ibismux/dispatch/dispatch_settings.h"
#include "ibismux/dispatch/leaf.h"

namespace ibismux::dispatch {

namespace {

using std::chrono::milliseconds;

// What dialling costs before a call can be sent; leafs take 1 to 6 ms for it.
constexpr milliseconds kDialCost{6};
// A leaf whose calls have waited this many times the usual without any answer
// counts as silent. One call in a hundred takes that long by itself.
constexpr double kSilentAfter = 2.5;
constexpr milliseconds kLeastPatience{4};
// A silent leaf is worse than any that answers.
constexpr double kSilentCost = 1e3;
// What a leaf that fails all its calls costs, in times the objective.
constexpr double kFailureCost = 2;
// A leaf to which this daemon keeps no links is worth a dial, and a connection
// beyond its share, only where the others are as good as lost.
constexpr double kLastResortCost = 0.05;
// A leaf that has just started works slower than its peers by about this.
constexpr double kColdRatio = 1.6;

// Of calls that the average of their times goes over: half a second's worth on
// a small site.
constexpr int kAverageOver = 32;

constexpr milliseconds kLeastRetryAfter{100};
constexpr milliseconds kLongestRetryAfter{1000};

double as_millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
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
        return leaf->entry().instance < other->entry().instance;
      });
  this->members.insert(place, std::move(leaf));
  this->serve_waiting();
}

void ServiceGroup::remove(const Leaf& leaf) {
  std::erase_if(this->members,
                [&leaf](const auto& member) { return member.get() == &leaf; });
}

bool ServiceGroup::can_serve(
    const std::vector<std::shared_ptr<Leaf>>& tried) const noexcept {
  return std::any_of(this->members.begin(), this->members.end(),
                     [&tried](const auto& leaf) {
                       return leaf->in_service() && !holds(tried, leaf.get());
                     });
}

milliseconds ServiceGroup::retry_after(TimePoint now) const {
  Duration soonest = kLongestRetryAfter;
  for (const auto& leaf : this->members) {
    if (!leaf->is_retired() && !leaf->entry().draining) {
      soonest = std::min(soonest, leaf->until_retry(now));
    }
  }
  return std::max(kLeastRetryAfter, std::chrono::ceil<milliseconds>(soonest));
}

double ServiceGroup::cost(const Leaf& leaf,
                          const LeafWish& wish,
                          TimePoint now) const {
  const LeafEstimate& estimate = leaf.estimate();
  const double objective = as_millis(wish.objective);
  const double slots = std::max<double>(1, leaf.entry().slots);
  const double cold = leaf.entry().warmup_left.count() > 0 ? kColdRatio : 1;
  double cost = as_millis(wish.usual) * estimate.ratio(now) * cold *
                (1 + static_cast<double>(leaf.busy()) / slots);
  cost += estimate.failure_share(now) * kFailureCost * objective;
  if (leaf.entry().zone != this->settings.zone) {
    cost += this->settings.remote_cost * objective;
  }
  if (!leaf.keeps_links()) {
    cost += kLastResortCost * objective;
  }
  if (!leaf.has_idle_link()) {
    cost += as_millis(kDialCost);
  }
  return cost;
}

std::shared_ptr<Leaf> ServiceGroup::choose(const LeafWish& wish,
                                           TimePoint now) const {
  const Duration patience = std::max<Duration>(
      kLeastPatience,
      std::chrono::duration_cast<Duration>(wish.usual * kSilentAfter));
  std::shared_ptr<Leaf> best;
  double least = std::numeric_limits<double>::max();
  for (const auto& leaf : this->members) {
    if (!leaf->in_service() || !leaf->has_room() ||
        (wish.tried && holds(*wish.tried, leaf.get()))) {
      continue;
    }
    double cost = this->cost(*leaf, wish, now);
    if (leaf->estimate().silent(patience, now)) {
      if (wish.is_repeat) {
        continue;
      }
      cost *= kSilentCost;
    }
    if (cost < least) {
      least = cost;
      best = leaf;
    }
  }
  return best;
}

void ServiceGroup::count_first() noexcept {
  this->repeats.pay_in(1, this->settings.repeat_share);
}

void ServiceGroup::serve_waiting() {
  this->waiting.offer([this] {
    return std::any_of(this->members.begin(), this->members.end(),
                       [](const auto& leaf) {
                         return leaf->in_service() && leaf->has_room();
                       });
  });
}

void ServiceGroup::note_call(Duration took) noexcept {
  this->call_time =
      this->call_time == Duration::zero()
          ? took
          : this->call_time + (took - this->call_time) / kAverageOver;
}

Duration ServiceGroup::expected_wait(std::uint32_t priority) const {
  const std::size_t ahead = this->waiting.ahead_of(priority);
  if (ahead == 0) {
    return Duration::zero();
  }
  std::size_t at_once = 0;
  for (const auto& leaf : this->members) {
    at_once += leaf->in_service() ? leaf->most_calls() : 0;
  }
  return this->call_time * (ahead + 1) / std::max<std::size_t>(1, at_once);
}

}  // namespace ibismux::dispatch
