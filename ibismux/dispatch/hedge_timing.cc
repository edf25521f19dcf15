#include "ibismux/dispatch/hedge_timing.h"

#include <algorithm>
#include <chrono>

namespace ibismux::dispatch {

namespace {

// A call is sent again after this many times the usual: one in some tens takes
// that long by itself, so that hedges stay well within the budget of repeats.
constexpr double kHedgeAfter = 2.5;
constexpr std::chrono::milliseconds kLeastHedge{4};
// And no later than leaves the second answer this many times the usual before
// the answer is due; most come within that.
constexpr double kTimeForSecond = 1.7;
// Where even that is sooner than this many times the usual, half of all calls
// would be sent twice, and load is what makes them slow.
constexpr double kSoonestHedge = 1.5;

}  // namespace

Duration hedge_delay(Duration usual, Duration until_due) noexcept {
  const Duration latest = std::max(scaled(usual, kSoonestHedge),
                                   until_due - scaled(usual, kTimeForSecond));
  return std::max<Duration>(kLeastHedge,
                            std::min(scaled(usual, kHedgeAfter), latest));
}

}  // namespace ibismux::dispatch
