#ifndef IBISMUX_QUERY_SERVICE_POLICY_H_
#define IBISMUX_QUERY_SERVICE_POLICY_H_

#include <atomic>
#include <mutex>
#include <optional>

#include "ibismux/base/fraction_budget.h"
#include "ibismux/base/time.h"
#include "ibismux/query/latency_quantile.h"

namespace ibismux::query {

/// What recent calls of one service showed, and the hedging that follows from
/// it: after which delay, and whether the budget and the load allow one.
///
/// Thread safe.
class ServicePolicy {
 public:
  ServicePolicy(double hedge_quantile, double hedge_share);

  /// The service's specification has changed. What was learnt stays.
  void configure(double hedge_quantile, double hedge_share) noexcept;

  /// So many ordinary calls go out: the hedge budget grows by its share of
  /// them, less as load rises.
  void calls_started(std::size_t calls) noexcept;

  /// A call was answered.
  /// @param latency As the query saw it.
  /// @param queue_time What part of it the call waited for the leaf.
  void call_answered(Duration latency, Duration queue_time);

  /// A call was refused or lost.
  void call_failed();

  /// A call was given up after `elapsed`, when its answer wasn't wanted any
  /// more. Left out, the slow ones would vanish from the quantile and the
  /// delay would sink until everything is hedged.
  void call_abandoned(Duration elapsed);

  /// A shard that was hedged got its answer. @param won Whether of a hedge.
  void hedge_settled(bool won) noexcept;

  /// How long a call may be out before it is worth a hedge; absent while too
  /// little is known.
  [[nodiscard]] std::optional<Duration> hedge_delay() const noexcept;

  /// Takes a hedge out of the budget. @return False if there is none left.
  [[nodiscard]] bool take_hedge() noexcept { return this->budget.take(); }

  /// 1 while leafs have room, 0 when hedges would only add to their queues.
  [[nodiscard]] double openness() const noexcept;

  [[nodiscard]] double tokens() const noexcept { return this->budget.tokens(); }

 private:
  void learn(Duration latency);
  /// The share of calls that are to be hedged.
  [[nodiscard]] double hedged_share() const noexcept;

  std::atomic<double> quantile;
  std::atomic<double> share;
  FractionBudget budget;
  std::atomic<Duration::rep> delay{0};  ///< 0 while unknown.
  std::atomic<double> queue_share{0};   ///< Moving average, 0 to 1.
  std::atomic<double> failure_share{0};
  std::atomic<double> won_share{1};  ///< Of hedges; moving average.

  std::mutex mutex;  ///< Guards the two below.
  LatencyQuantile latencies;
  std::uint32_t since_refresh = 0;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_SERVICE_POLICY_H_
