#ifndef IBISMUX_STORE_CALL_BUDGET_H_
#define IBISMUX_STORE_CALL_BUDGET_H_

#include <array>

#include "ibismux/base/time.h"
#include "ibismux/store/call_kind.h"

namespace ibismux::store {

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

  /// The platform said that its own cap is reached: empties the bucket of
  /// `kind` and halves its rate. The sum of the shares is above the cap, so
  /// that a fault which makes every daemon read at once would otherwise keep
  /// the platform at its cap, and those who publish would find it shut.
  void rate_limited(CallKind kind, TimePoint now) noexcept;

  /// The platform took a call of `kind`: its rate recovers by a step.
  void taken(CallKind kind, TimePoint now) noexcept;

  /// Replaces the rates; calls saved up stay, up to the new burst.
  void set_rates(const CallRates& rates, TimePoint now) noexcept;

 private:
  struct Bucket {
    CallRate rate;
    double factor = 1;  ///< What the platform's cap leaves of the rate.
    double tokens = 0;
    TimePoint filled_at;
  };

  Bucket& refilled(CallKind kind, TimePoint now) noexcept;

  std::array<Bucket, kCallKinds> buckets;
};

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_CALL_BUDGET_H_
