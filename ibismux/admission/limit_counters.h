#ifndef IBISMUX_ADMISSION_LIMIT_COUNTERS_H_
#define IBISMUX_ADMISSION_LIMIT_COUNTERS_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

#include "ibismux/admission/rate_meter.h"
#include "ibismux/release/limit_policy.h"

namespace ibismux::admission {

/// This daemon's part of one limit policy.
struct LimitShare {
  bool limits_concurrency = false;
  std::uint32_t concurrency = 0;
  std::vector<std::uint32_t> rates;  ///< In order of the policy's rules.
};

/// The counters of one limit policy for one service or one caller.
///
/// Thread safe.
class LimitCounters {
 public:
  /// @param policy Gives the windows, and the size of each limit, by which the
  /// kind of counter is chosen.
  explicit LimitCounters(const release::LimitPolicy& policy);

  /// @name Concurrency
  /// @{
  [[nodiscard]] bool take_slot(const LimitShare& share);
  /// @param hold_time How long the slot was held; absent if the request did not
  /// run.
  void release_slot(std::optional<Duration> hold_time);
  /// Estimated time until a slot is free.
  [[nodiscard]] Duration estimated_slot_wait();
  /// @}

  /// Whether no slot is held and no rate window holds a request, so that the
  /// counters can be deleted without losing state.
  [[nodiscard]] bool idle(TimePoint now);

 private:
  friend struct RateVerdict check_and_record(
      std::span<const struct LimitUse> uses,
      TimePoint now);

  std::mutex mutex;
  std::uint32_t in_flight = 0;
  Duration mean_hold_time{};  ///< Moving average.
  std::vector<std::unique_ptr<RateMeter>> meters;
};

/// Counters that record a request, and this daemon's share of their limits.
struct LimitUse {
  std::shared_ptr<LimitCounters> counters;
  std::shared_ptr<const LimitShare> share;
};

/// Combined result of all rate rules that apply to a request.
struct RateVerdict {
  Duration wait{};  ///< Zero if the request was recorded.
  /// Otherwise the index of the use with the longest wait.
  std::size_t binding = 0;
};

/// Checks every rate rule of all `uses`. If all of them admit the request,
/// records it in all of them with the same time `now`. Thread safe.
///
/// Checking and recording rule by rule has two faults. If a later rule refuses,
/// the earlier ones have counted a request that is not sent. If the caller
/// waits between two rules, the earlier one holds a timestamp from before the
/// request was sent, which leaves its window too soon.
[[nodiscard]] RateVerdict check_and_record(std::span<const LimitUse> uses,
                                           TimePoint now);

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_LIMIT_COUNTERS_H_
