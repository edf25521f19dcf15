#include "ibismux/query/leaf_stats.h"

#include <algorithm>
#include <cmath>

namespace ibismux::query {

namespace {

/// Weight of the newest sample in the moving average of latencies.
constexpr double kLatencyWeight = 0.1;
/// Half-life of the average latency since its last update.
constexpr std::chrono::duration<double> kLatencyHalfLife{2.0};
/// Half-life of the failure count since its last update.
constexpr std::chrono::duration<double> kFailureHalfLife{1.0};
/// Base latency of the cost, in milliseconds. It is the assumed latency of a
/// leaf without samples.
constexpr double kBaseLatencyMs = 1.0;
/// Cost added by the first failure, in milliseconds; doubles with each further
/// one. It must outweigh the queue of a replica that does serve: otherwise a
/// leaf that refuses calls at once would look fast and idle.
constexpr double kFailureCostMs = 50.0;
/// Upper limit of the failure count.
constexpr double kMaxFailures = 8.0;

double decay_factor(Duration::rep since,
                    TimePoint now,
                    std::chrono::duration<double> half_life) noexcept {
  const Duration age =
      std::max(Duration::zero(), now.time_since_epoch() - Duration(since));
  return std::exp2(-std::chrono::duration<double>(age) / half_life);
}

double to_ms(Duration duration) noexcept {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

void LeafStats::call_answered(Duration latency, TimePoint now) noexcept {
  this->call_ended();
  this->record_latency(latency, now);
}

void LeafStats::call_failed(TimePoint now) noexcept {
  this->call_ended();
  const double before =
      this->failures.load(std::memory_order_relaxed) *
      decay_factor(this->failed_at.load(std::memory_order_relaxed), now,
                   kFailureHalfLife);
  this->failures.store(std::min(kMaxFailures, before + 1),
                       std::memory_order_relaxed);
  this->failed_at.store(now.time_since_epoch().count(),
                        std::memory_order_relaxed);
}

void LeafStats::call_abandoned(Duration elapsed, TimePoint now) noexcept {
  this->call_ended();
  const double known = this->latency_ms.load(std::memory_order_relaxed);
  const double decayed =
      known *
      decay_factor(this->latency_updated_at.load(std::memory_order_relaxed),
                   now, kLatencyHalfLife);
  if (to_ms(elapsed) >= known) {
    this->record_latency(elapsed, now);
  } else if (to_ms(elapsed) >= decayed) {
    // A slow leaf whose calls are all hedged never completes one. If its
    // latency decayed, it would be chosen again and again and need a hedge each
    // time. This call confirms the known latency, so the decay starts anew.
    this->latency_updated_at.store(now.time_since_epoch().count(),
                                   std::memory_order_relaxed);
  }
}

double LeafStats::cost(TimePoint now) const noexcept {
  const double latency =
      kBaseLatencyMs +
      this->latency_ms.load(std::memory_order_relaxed) *
          decay_factor(this->latency_updated_at.load(std::memory_order_relaxed),
                       now, kLatencyHalfLife);
  const double recent_failures =
      this->failures.load(std::memory_order_relaxed) *
      decay_factor(this->failed_at.load(std::memory_order_relaxed), now,
                   kFailureHalfLife);
  const double waiting = std::max(
      0.0,
      static_cast<double>(this->outstanding.load(std::memory_order_relaxed)));
  return latency * (1.0 + waiting) +
         kFailureCostMs * (std::exp2(recent_failures) - 1);
}

void LeafStats::record_latency(Duration latency, TimePoint now) noexcept {
  const double average_ms = this->latency_ms.load(std::memory_order_relaxed);
  const double sample_ms = to_ms(latency);
  this->latency_ms.store(
      average_ms == 0 ? sample_ms
                      : average_ms + kLatencyWeight * (sample_ms - average_ms),
      std::memory_order_relaxed);
  this->latency_updated_at.store(now.time_since_epoch().count(),
                                 std::memory_order_relaxed);
}

}  // namespace ibismux::query
