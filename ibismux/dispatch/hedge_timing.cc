#include "ibismux/dispatch/hedge_timing.h"

#include <algorithm>
#include <chrono>

namespace ibismux::dispatch {

namespace {

// A call is hedged after this multiple of the median latency. A few calls in a
// hundred take that long without any fault, so hedges stay well within the
// repeat budget.
constexpr double kHedgeDelayFactor = 2.5;
constexpr std::chrono::milliseconds kMinHedgeDelay{4};
// The hedge must leave the second answer this multiple of the median latency
// before the answer is due; most answers arrive within that.
constexpr double kSecondAnswerFactor = 1.7;
// Lower bound as a multiple of the median latency, which overrides the bound
// above. With an earlier hedge, half of all calls would be sent twice, and the
// added load would slow down all of them.
constexpr double kMinHedgeFactor = 1.5;

}  // namespace

Duration hedge_delay(Duration typical_latency,
                     Duration until_due,
                     double urgency) noexcept {
  const Duration latest =
      std::max(scaled(typical_latency, kMinHedgeFactor),
               until_due - scaled(typical_latency, kSecondAnswerFactor));
  const Duration earliest = scaled(typical_latency, kMinHedgeFactor);
  const Duration usual = scaled(typical_latency, kHedgeDelayFactor * urgency);
  return std::max<Duration>(kMinHedgeDelay,
                            std::min(std::max(earliest, usual), latest));
}

}  // namespace ibismux::dispatch
