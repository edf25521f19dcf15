#include "ibismux/dispatch/call_window.h"

#include <algorithm>
#include <chrono>

namespace ibismux::dispatch {

namespace {

// At this multiple of the unloaded latency a leaf has as many calls waiting as
// executing, and further calls add only to the queueing delay. With a much
// lower threshold, pauses and slow leafs would be mistaken for load.
constexpr double kOverloadRatio = 2;
// Weight of one call in the average, and the maximum ratio that one call counts
// for: a pause or an expensive request affects one or two calls in a row and
// doesn't indicate a queue.
constexpr double kWeight = 0.35;
constexpr double kMaxRatio = 5;

}  // namespace

void CallWindow::on_answer(Duration took,
                           Duration unloaded_latency,
                           std::size_t in_flight,
                           TimePoint now) {
  const double ratio =
      to_seconds(took) / std::max(to_seconds(unloaded_latency), 1e-6);
  this->average_ratio +=
      (std::min(ratio, kMaxRatio) - this->average_ratio) * kWeight;
  // With a single call in flight from this daemon, the latency is due to calls
  // of other daemons or to a slow leaf; reducing the window wouldn't help.
  if (this->average_ratio > kOverloadRatio && in_flight > 1) {
    this->limit.on_overload(now);
  } else {
    this->limit.on_answer(took, in_flight, now);
  }
}

}  // namespace ibismux::dispatch
