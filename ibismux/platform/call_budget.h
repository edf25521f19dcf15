#ifndef IBISMUX_PLATFORM_CALL_BUDGET_H_
#define IBISMUX_PLATFORM_CALL_BUDGET_H_

#include <array>

#include "ibismux/base/time.h"
#include "ibismux/platform/call_kind.h"

namespace ibismux::platform {

/// A rate of calls and how many may come at once.
struct CallRate {
  double per_second = 0;
  double burst = 1;
};

using CallRates = std::array<CallRate, kCallKinds>;

/// How many calls of each kind this daemon may still send: a token bucket for
/// each.
///
/// The platform's rates are shared by the whole fleet and grow more slowly than
/// it. Without a bound at each daemon, a fault that makes all of them read at
/// once would take the platform down for everyone.
///
/// Not thread safe. The times given never go back.
class CallBudget {
 public:
  /// Full buckets at `now`.
  CallBudget(const CallRates& rates, TimePoint now) noexcept;

  /// Takes one call of `kind` if there is one left.
  [[nodiscard]] bool take(CallKind kind, TimePoint now) noexcept;

  /// How long until `take()` would succeed; zero where it would now.
  [[nodiscard]] Duration until_next(CallKind kind, TimePoint now) noexcept;

  /// Empties the bucket of `kind`: the platform said that its own cap is
  /// reached, so that this daemon's store of calls is not there to be spent.
  void drain(CallKind kind, TimePoint now) noexcept;

  /// Replaces the rates; calls saved up stay, up to the new burst.
  void set_rates(const CallRates& rates, TimePoint now) noexcept;

 private:
  struct Bucket {
    CallRate rate;
    double tokens = 0;
    TimePoint filled_at;
  };

  Bucket& refilled(CallKind kind, TimePoint now) noexcept;

  std::array<Bucket, kCallKinds> buckets;
};

}  // namespace ibismux::platform

#endif  // IBISMUX_PLATFORM_CALL_BUDGET_H_
