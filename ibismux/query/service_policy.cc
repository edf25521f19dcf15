#include "ibismux/query/service_policy.h"

#include <algorithm>

namespace ibismux::query {

namespace {

/// Capacity of the hedge budget.
constexpr double kHedgeBurst = 25;
/// Number of samples after which the hedge delay is recomputed. With a larger
/// number, a service with few queries per daemon would go without hedges for
/// seconds.
constexpr std::uint32_t kSamplesPerRefresh = 32;
/// Share of the hedge budget that the delay is chosen to use. If it used all of
/// it, calls that are only slightly late would spend the budget and leave none
/// for stragglers.
constexpr double kTargetBudgetUse = 0.8;
/// Weight of the newest call in the moving averages of queueing and failures.
constexpr double kLoadWeight = 0.01;
/// Weight of the newest hedged shard in the moving average of won hedges.
constexpr double kHedgeWeight = 0.02;
/// If a smaller share of hedges than this wins, fewer are sent: most would only
/// add a call that ends after the call that it duplicates.
constexpr double kTargetWinShare = 0.35;
/// Lower limit of that reduction. Some hedges are always sent, so that it shows
/// when they become useful again.
constexpr double kMinWinFactor = 0.1;
/// Load up to which hedges are not reduced, and load from which there are none.
/// Load is the larger of the share of a call's time spent in queues and the
/// share of calls that fail.
constexpr double kFullHedgingLoad = 0.2;
constexpr double kNoHedgingLoad = 0.5;

void update_average(std::atomic<double>& average,
                    double value,
                    double weight = kLoadWeight) noexcept {
  const double old = average.load(std::memory_order_relaxed);
  average.store(old + weight * (value - old), std::memory_order_relaxed);
}

}  // namespace

ServicePolicy::ServicePolicy(double hedge_quantile, double hedge_share)
    : quantile(hedge_quantile), share(hedge_share), budget(kHedgeBurst) {}

void ServicePolicy::configure(double hedge_quantile,
                              double hedge_share) noexcept {
  this->quantile.store(hedge_quantile, std::memory_order_relaxed);
  this->share.store(hedge_share, std::memory_order_relaxed);
}

void ServicePolicy::calls_started(std::size_t calls) noexcept {
  this->budget.deposit(calls, this->share.load(std::memory_order_relaxed) *
                                  this->hedge_budget_factor());
}

void ServicePolicy::call_answered(Duration latency, Duration queue_time) {
  update_average(this->failure_share, 0);
  if (latency > Duration::zero()) {
    update_average(this->queue_share,
                   std::clamp(static_cast<double>(queue_time.count()) /
                                  static_cast<double>(latency.count()),
                              0.0, 1.0));
  }
  this->record_latency(latency);
}

void ServicePolicy::call_failed() {
  update_average(this->failure_share, 1);
}

void ServicePolicy::call_abandoned(Duration elapsed) {
  // `elapsed` is a lower bound of the latency. For a call that was outstanding
  // only briefly it is meaningless, and counting it would lower the delay.
  if (elapsed >= this->hedge_delay().value_or(Duration::zero())) {
    this->record_latency(elapsed);
  }
}

void ServicePolicy::hedge_settled(bool won) noexcept {
  update_average(this->hedge_win_share, won ? 1 : 0, kHedgeWeight);
}

double ServicePolicy::hedged_share() const noexcept {
  const double target_share =
      std::min(1 - this->quantile.load(std::memory_order_relaxed),
               kTargetBudgetUse * this->share.load(std::memory_order_relaxed));
  return target_share *
         std::clamp(this->hedge_win_share.load(std::memory_order_relaxed) /
                        kTargetWinShare,
                    kMinWinFactor, 1.0);
}

std::optional<Duration> ServicePolicy::hedge_delay() const noexcept {
  const Duration known(this->delay.load(std::memory_order_relaxed));
  return known == Duration::zero() ? std::nullopt : std::optional(known);
}

double ServicePolicy::hedge_budget_factor() const noexcept {
  const double load =
      std::max(this->queue_share.load(std::memory_order_relaxed),
               this->failure_share.load(std::memory_order_relaxed));
  return std::clamp(
      (kNoHedgingLoad - load) / (kNoHedgingLoad - kFullHedgingLoad), 0.0, 1.0);
}

void ServicePolicy::record_latency(Duration latency) {
  const std::lock_guard lock(this->mutex);
  this->latencies.record(latency);
  if (++this->samples_since_refresh < kSamplesPerRefresh) {
    return;
  }
  this->samples_since_refresh = 0;
  const std::optional<Duration> fresh =
      this->latencies.at(1 - this->hedged_share());
  this->delay.store(fresh.value_or(Duration::zero()).count(),
                    std::memory_order_relaxed);
}

}  // namespace ibismux::query
