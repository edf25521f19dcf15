#include "ibismux/dispatch/call_window.h"

#include <algorithm>
#include <chrono>

namespace ibismux::dispatch {

namespace {

// A leaf whose calls take this many times what they take without a queue has as
// many waiting as it works on. More of them there add to the wait and to
// nothing else. Much less, and pauses and slow leafs pass for load.
constexpr double kLoadedTimes = 2;
// Weight of one call in the average, and the most that one counts for: a pause
// or a heavy request catches one or two calls in a row and is no queue.
constexpr double kWeight = 0.35;
constexpr double kMostLoad = 5;

}  // namespace

void CallWindow::on_answer(Duration took,
                           Duration unloaded,
                           std::size_t in_flight,
                           TimePoint now) {
  const double ratio = to_seconds(took) / std::max(to_seconds(unloaded), 1e-6);
  this->load += (std::min(ratio, kMostLoad) - this->load) * kWeight;
  // A single call of ours makes no queue; somebody else's does, or the leaf is
  // slow.
  if (this->load > kLoadedTimes && in_flight > 1) {
    this->limit.on_overload(now);
  } else {
    this->limit.on_answer(took, in_flight, now);
  }
}

}  // namespace ibismux::dispatch
