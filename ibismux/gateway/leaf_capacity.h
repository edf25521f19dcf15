#ifndef IBISMUX_GATEWAY_LEAF_CAPACITY_H_
#define IBISMUX_GATEWAY_LEAF_CAPACITY_H_

#include <chrono>
#include <cstddef>
#include <memory>

#include "ibismux/backend/leaf_reply.h"
#include "ibismux/base/moving_average.h"
#include "ibismux/base/time.h"
#include "ibismux/concurrency/concurrency_limit.h"
#include "ibismux/gateway/ejection_budget.h"
#include "ibismux/gateway/gateway_settings.h"
#include "ibismux/gateway/leaf_health_policy.h"
#include "ibismux/gateway/leaf_status.h"

namespace ibismux::gateway {

/// What one leaf can take now: whether it gets calls, how many at once, and how
/// long one needs. Learnt from how its calls end.
///
/// Holds no clock. Not thread safe.
class LeafCapacity {
 public:
  /// Both outlive this.
  LeafCapacity(const GatewaySettings& settings, EjectionBudget& budget);

  /// What the operator declared.
  void declare(std::size_t slots, bool leaving);

  /// A call ended.
  /// @param in_flight Calls that ran when it ended, itself included.
  /// @return Whether the leaf is ejected with this.
  [[nodiscard]] bool on_reply(const backend::LeafReply& reply,
                              Duration leaf_time,
                              std::size_t in_flight,
                              TimePoint now);

  /// Connections opened after the last one was lost: another process, maybe.
  /// @param ready What it says of itself.
  void on_restart(bool ready, TimePoint now);

  /// To be called a few times a second.
  void tick(TimePoint now) { this->health.tick(now); }

  [[nodiscard]] LeafState state(TimePoint now) const noexcept {
    return this->health.state(now);
  }
  /// Whether what a leaf that left says of itself no longer lags behind.
  [[nodiscard]] bool may_return(TimePoint now) const noexcept {
    return this->health.may_return(now);
  }

  [[nodiscard]] double limit() const noexcept { return this->bound->limit(); }
  /// How many calls may run at once; at least 1.
  [[nodiscard]] std::size_t most_running(TimePoint now) const noexcept;

  /// @name What a queue before it expects
  /// @{

  /// Time from one start to the next.
  [[nodiscard]] Duration pace() const noexcept;
  /// Time of one call, at the least: it may well be quicker than most.
  [[nodiscard]] Duration service() const noexcept;
  /// When one that was refused with `queued` calls ahead may come again.
  [[nodiscard]] std::chrono::milliseconds retry_after(
      std::size_t queued) const noexcept;
  /// @}

 private:
  static constexpr int kAverageOver = 16;

  std::unique_ptr<concurrency::ConcurrencyLimit> bound;
  LeafHealthPolicy health;
  MovingAverage typical{kAverageOver};  ///< Of leaf times.
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_LEAF_CAPACITY_H_
