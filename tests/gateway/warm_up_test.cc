#include "ibismux/gateway/warm_up.h"

#include <criterion/criterion.h>

namespace ibismux::gateway {

// Symptom: leafs refuse connections while a daemon starts.
// Sequence: it has the release before it has heard of its peers; it is alone in
// its view, so each leaf is its own; a moment later it sees the others.
// Cause: it opened connections to every leaf at once.
Test(warm_up, gateway_for_a_moment_holds_nothing_open) {
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  const Duration moment = WarmUp::kSettle / 2;
  WarmUp warm_up;
  warm_up.declare(true, start);
  cr_assert(!warm_up.holds(start));
  cr_assert(!warm_up.holds(start + moment));
  warm_up.declare(false, start + moment);
  cr_assert(!warm_up.holds(start + WarmUp::kSettle));
  warm_up.declare(true, start + WarmUp::kSettle);
  cr_assert(!warm_up.holds(start + WarmUp::kSettle));
  warm_up.declare(true, start + WarmUp::kSettle + moment);
  cr_assert(warm_up.holds(start + 2 * WarmUp::kSettle));
}

}  // namespace ibismux::gateway
