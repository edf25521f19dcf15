#ifndef IBISMUX_QUERY_LEAF_STATS_H_
#define IBISMUX_QUERY_LEAF_STATS_H_

#include <atomic>
#include <cstdint>

#include "ibismux/base/time.h"

namespace ibismux::query {

/// Statistics of this daemon's own recent calls to one leaf. What the leaf or
/// its health page reports isn't used, since it can be outdated or misleading.
///
/// Thread safe. Concurrent updates may overwrite each other, which costs only
/// a little accuracy.
class LeafStats {
 public:
  void call_started() noexcept {
    this->outstanding.fetch_add(1, std::memory_order_relaxed);
  }

  /// A call was answered after `latency`.
  void call_answered(Duration latency, TimePoint now) noexcept;

  /// A call was refused or lost.
  void call_failed(TimePoint now) noexcept;

  /// A call was abandoned after `elapsed`, a lower bound of its latency.
  void call_abandoned(Duration elapsed, TimePoint now) noexcept;

  /// The number of calls that have not ended.
  [[nodiscard]] std::int32_t calls_outstanding() const noexcept {
    return this->outstanding.load(std::memory_order_relaxed);
  }

  /// Estimated cost of one more call to this leaf; lower is better. Grows with
  /// latency, outstanding calls and recent failures. Old samples decay, so that
  /// a leaf that was slow is tried again.
  [[nodiscard]] double cost(TimePoint now) const noexcept;

 private:
  void record_latency(Duration latency, TimePoint now) noexcept;
  void call_ended() noexcept {
    this->outstanding.fetch_sub(1, std::memory_order_relaxed);
  }

  std::atomic<std::int32_t> outstanding{0};
  std::atomic<double> latency_ms{0};
  std::atomic<double> failures{0};
  std::atomic<Duration::rep> latency_updated_at{0};
  std::atomic<Duration::rep> failed_at{0};
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_LEAF_STATS_H_
