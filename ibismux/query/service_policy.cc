#include "ibismux/query/service_policy.h"

#include <algorithm>

namespace ibismux::query {

namespace {

/// The most hedges that may be saved up.
constexpr double kHedgeBurst = 25;
/// The delay is worked out anew after so many samples. A service that each
/// daemon gets few queries of would otherwise go without hedges for seconds.
constexpr std::uint32_t kSamplesPerRefresh = 32;
/// What part of the budget the delay is meant to use up. With all of it gone,
/// a straggler finds none left while calls that are only a little late have
/// spent it.
constexpr double kPlannedUse = 0.8;
/// Weight of the newest call in the moving averages of load.
constexpr double kLoadWeight = 0.01;
/// The same for the newest hedge.
constexpr double kHedgeWeight = 0.02;
/// Where fewer hedges than this win, fewer are sent: most would only add a call
/// that ends after the one it stands in for. Some are always sent, or nobody
/// would notice that they have come to help.
constexpr double kWorthwhile = 0.35;
constexpr double kLeastUse = 0.1;
/// The share of a call's time spent in queues up to which hedges are free, and
/// from which there are none. The same for the share of calls that fail.
constexpr double kOpenBelow = 0.2;
constexpr double kShutAbove = 0.5;

void average_in(std::atomic<double>& average,
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
  this->budget.deposit(
      calls, this->share.load(std::memory_order_relaxed) * this->openness());
}

void ServicePolicy::call_answered(Duration latency, Duration queue_time) {
  average_in(this->failure_share, 0);
  if (latency > Duration::zero()) {
    average_in(this->queue_share,
               std::clamp(static_cast<double>(queue_time.count()) /
                              static_cast<double>(latency.count()),
                          0.0, 1.0));
  }
  this->learn(latency);
}

void ServicePolicy::call_failed() {
  average_in(this->failure_share, 1);
}

void ServicePolicy::call_abandoned(Duration elapsed) {
  // The call would have taken longer. Of one that was out for a moment only,
  // that says nothing, and counting it would sink the delay.
  if (elapsed >= this->hedge_delay().value_or(Duration::zero())) {
    this->learn(elapsed);
  }
}

void ServicePolicy::hedge_settled(bool won) noexcept {
  average_in(this->won_share, won ? 1 : 0, kHedgeWeight);
}

double ServicePolicy::hedged_share() const noexcept {
  const double late =
      std::min(1 - this->quantile.load(std::memory_order_relaxed),
               kPlannedUse * this->share.load(std::memory_order_relaxed));
  return late * std::clamp(this->won_share.load(std::memory_order_relaxed) /
                               kWorthwhile,
                           kLeastUse, 1.0);
}

std::optional<Duration> ServicePolicy::hedge_delay() const noexcept {
  const Duration known(this->delay.load(std::memory_order_relaxed));
  return known == Duration::zero() ? std::nullopt : std::optional(known);
}

double ServicePolicy::openness() const noexcept {
  const double load =
      std::max(this->queue_share.load(std::memory_order_relaxed),
               this->failure_share.load(std::memory_order_relaxed));
  return std::clamp((kShutAbove - load) / (kShutAbove - kOpenBelow), 0.0, 1.0);
}

void ServicePolicy::learn(Duration latency) {
  const std::lock_guard lock(this->mutex);
  this->latencies.record(latency);
  if (++this->since_refresh < kSamplesPerRefresh) {
    return;
  }
  this->since_refresh = 0;
  const std::optional<Duration> fresh =
      this->latencies.at(1 - this->hedged_share());
  this->delay.store(fresh.value_or(Duration::zero()).count(),
                    std::memory_order_relaxed);
}

}  // namespace ibismux::query
