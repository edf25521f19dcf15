#ifndef IBISMUX_QUERY_SERVICE_POLICY_H_
#define IBISMUX_QUERY_SERVICE_POLICY_H_

#include <atomic>
#include <mutex>
#include <optional>

#include "ibismux/base/fraction_budget.h"
#include "ibismux/base/time.h"
#include "ibismux/query/latency_quantile.h"

namespace ibismux::query {

/// Statistics of recent calls of one service, and the hedging policy derived
/// from them: the delay before a hedge, and whether budget and load allow one.
///
/// Thread safe.
class ServicePolicy {
 public:
  ServicePolicy(double hedge_quantile, double hedge_share);

  /// Applies a changed specification of the service. The statistics are kept.
  void configure(double hedge_quantile, double hedge_share) noexcept;

  /// Counts first calls that are sent: the hedge budget grows by its share of
  /// them, and by less as load rises.
  void calls_started(std::size_t calls) noexcept;

  /// A call was answered.
  /// @param latency Latency as the query measured it.
  /// @param queue_time The part of `latency` spent waiting for the leaf.
  void call_answered(Duration latency, Duration queue_time);

  /// A call was refused or lost.
  void call_failed();

  /// A call was abandoned after `elapsed` because its answer wasn't needed any
  /// more. If such calls were left out, slow calls would disappear from the
  /// quantile, and the delay would fall until every call is hedged.
  void call_abandoned(Duration elapsed);

  /// A hedged shard was answered. @param won Whether a hedge gave the answer.
  void hedge_settled(bool won) noexcept;

  /// How long a call may be outstanding before it is hedged; absent while there
  /// are too few samples.
  [[nodiscard]] std::optional<Duration> hedge_delay() const noexcept;

  /// Takes one hedge from the budget. @return False if the budget is empty.
  [[nodiscard]] bool take_hedge() noexcept { return this->budget.take(); }

  /// Factor by which load scales the hedge budget: 1 while leafs have spare
  /// capacity, 0 when hedges would only lengthen their queues.
  [[nodiscard]] double hedge_budget_factor() const noexcept;

  [[nodiscard]] double tokens() const noexcept { return this->budget.tokens(); }

 private:
  void record_latency(Duration latency);
  /// The share of calls that the hedge delay is chosen to hedge.
  [[nodiscard]] double hedged_share() const noexcept;

  std::atomic<double> quantile;
  std::atomic<double> share;
  FractionBudget budget;
  std::atomic<Duration::rep> delay{0};  ///< 0 while unknown.
  std::atomic<double> queue_share{0};   ///< Moving average, 0 to 1.
  std::atomic<double> failure_share{0};
  /// Share of hedged shards that a hedge answered; moving average.
  std::atomic<double> hedge_win_share{1};

  std::mutex mutex;  ///< Guards `latencies` and `samples_since_refresh`.
  LatencyQuantile latencies;
  std::uint32_t samples_since_refresh = 0;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_SERVICE_POLICY_H_
