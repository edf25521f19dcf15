#include "ibismux/admission/limit_counters.h"

#include <algorithm>

namespace ibismux::admission {

namespace {

/// Weight of the newest hold time in the moving average, as 1 in this many.
constexpr int kHoldTimeSamples = 8;

}  // namespace

LimitCounters::LimitCounters(const release::LimitPolicy& policy) {
  this->meters.reserve(policy.rates.size());
  for (const release::RateRule& rule : policy.rates) {
    this->meters.push_back(make_rate_meter(rule.limit, rule.window));
  }
}

bool LimitCounters::take_slot(const LimitShare& share) {
  const std::lock_guard lock(this->mutex);
  if (share.limits_concurrency && this->in_flight >= share.concurrency) {
    return false;
  }
  ++this->in_flight;
  return true;
}

void LimitCounters::release_slot(std::optional<Duration> hold_time) {
  const std::lock_guard lock(this->mutex);
  --this->in_flight;
  if (hold_time.has_value()) {
    this->mean_hold_time +=
        (*hold_time - this->mean_hold_time) / kHoldTimeSamples;
  }
}

Duration LimitCounters::estimated_slot_wait() {
  const std::lock_guard lock(this->mutex);
  return this->mean_hold_time / std::max<std::uint32_t>(1, this->in_flight);
}

bool LimitCounters::idle(TimePoint now) {
  const std::lock_guard lock(this->mutex);
  return this->in_flight == 0 &&
         std::all_of(this->meters.begin(), this->meters.end(),
                     [now](const auto& meter) { return meter->idle(now); });
}

RateVerdict check_and_record(std::span<const LimitUse> uses, TimePoint now) {
  // The mutexes are always locked in the same order; otherwise two requests
  // that need the same two could deadlock.
  std::vector<LimitCounters*> all_counters;
  all_counters.reserve(uses.size());
  for (const LimitUse& use : uses) {
    all_counters.push_back(use.counters.get());
  }
  std::sort(all_counters.begin(), all_counters.end(), std::less<>());
  all_counters.erase(std::unique(all_counters.begin(), all_counters.end()),
                     all_counters.end());
  std::vector<std::unique_lock<std::mutex>> locks;
  locks.reserve(all_counters.size());
  for (LimitCounters* counters : all_counters) {
    locks.emplace_back(counters->mutex);
  }
  RateVerdict verdict;
  for (std::size_t use = 0; use < uses.size(); ++use) {
    for (std::size_t rule = 0; rule < uses[use].counters->meters.size();
         ++rule) {
      const Duration wait = uses[use].counters->meters[rule]->wait(
          uses[use].share->rates.at(rule), now);
      if (wait > verdict.wait) {
        verdict = {wait, use};
      }
    }
  }
  if (verdict.wait > Duration::zero()) {
    return verdict;
  }
  for (LimitCounters* counters : all_counters) {
    for (const auto& meter : counters->meters) {
      meter->record(now);
    }
  }
  return verdict;
}

}  // namespace ibismux::admission
