#ifndef IBISMUX_ADMISSION_LIMIT_GROUP_H_
#define IBISMUX_ADMISSION_LIMIT_GROUP_H_

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

/// The counts of one policy for one service or one caller.
///
/// Thread safe.
class LimitGroup {
 public:
  /// @param policy Gives the windows, and how large the limits about are.
  explicit LimitGroup(const release::LimitPolicy& policy);

  /// @name Concurrency
  /// @{
  [[nodiscard]] bool take_slot(const LimitShare& share);
  /// @param held How long the slot was held; absent where it was never used.
  void give_slot_back(std::optional<Duration> held);
  /// About how long until a slot is free.
  [[nodiscard]] Duration slot_wait();
  /// @}

  /// Whether nothing of it matters any more: no slot is held and no window
  /// holds a request.
  [[nodiscard]] bool idle(TimePoint now);

 private:
  friend struct RateVerdict check_and_record(
      std::span<const struct LimitUse> uses,
      TimePoint now);

  std::mutex mutex;
  std::uint32_t in_flight = 0;
  Duration usual_hold{};  ///< Moving average.
  std::vector<std::unique_ptr<RateMeter>> meters;
};

/// A group that a request counts in, and its limits here.
struct LimitUse {
  std::shared_ptr<LimitGroup> group;
  std::shared_ptr<const LimitShare> share;
};

/// What the rate rules of a request say together.
struct RateVerdict {
  Duration wait{};          ///< Zero if the request was recorded.
  std::size_t binding = 0;  ///< Else which use makes it wait longest.
};

/// Asks every rate rule of every group; only if all let the request through it
/// is recorded, in all of them with the one time `now`. Thread safe.
///
/// Recording in one rule before another has agreed goes wrong twice: a refusal
/// by the later rule has used up the earlier one for nothing, and where a
/// caller waits in between, the earlier one holds a time at which nothing was
/// sent, which leaves its window too soon.
[[nodiscard]] RateVerdict check_and_record(std::span<const LimitUse> uses,
                                           TimePoint now);

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_LIMIT_GROUP_H_
