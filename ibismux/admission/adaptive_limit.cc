#include "ibismux/admission/adaptive_limit.h"

#include <algorithm>

namespace ibismux::admission {

namespace {

using std::chrono::milliseconds;

/// A window closes only after this many requests have ended and this much time
/// has passed.
constexpr std::uint32_t kMinWindowRequests = 8;
constexpr milliseconds kMinWindowDuration{20};
/// Highest stretch at which the limit isn't lowered. Some waiting keeps the
/// leafs busy; more only adds latency.
constexpr double kStretchTolerance = 2.0;
/// Overload makes nearly all requests wait, whereas a straggling leaf delays
/// only the requests that call it. The limit is therefore lowered only if more
/// than this share of the requests is over the tolerance, and the stretch of a
/// single request is capped.
constexpr double kSlowShareThreshold = 0.5;
constexpr double kMaxStretch = 5.0;
/// The limit is lowered when more than this share of the requests that ended in
/// the window failed because leafs were overloaded.
constexpr double kOverloadedShareThreshold = 0.1;
constexpr double kOverloadDecreaseFactor = 0.85;
/// Lowest factor by which a single window multiplies the limit.
constexpr double kMinDecreaseFactor = 0.7;
/// A request within the tolerance raises a limit that is in use by 1/limit, but
/// by no less than this, and by 1 if a request was refused since the last
/// increase.
constexpr double kMinIncrease = 0.1;
/// The limit is raised only if the requests in flight reached this share of it;
/// below that, good latency doesn't show that a higher limit would be safe. The
/// other half is room for a burst.
constexpr double kMinUtilization = 0.5;
constexpr double kMinLimit = 1;
constexpr double kMaxLimit = 100'000;

}  // namespace

void AdaptiveLimit::on_admitted(std::uint32_t in_flight) noexcept {
  this->peak_in_flight = std::max(this->peak_in_flight, in_flight);
}

void AdaptiveLimit::on_finished(double stretch,
                                Duration latency,
                                std::uint32_t in_flight,
                                TimePoint now) noexcept {
  if (stretch <= kStretchTolerance &&
      this->peak_in_flight >= kMinUtilization * this->value) {
    const double increase = this->refused ? 1 : 1 / this->value;
    this->value =
        std::min(kMaxLimit, this->value + std::max(kMinIncrease, increase));
    this->refused = false;
  }
  ++this->finished;
  this->over_tolerance += stretch > kStretchTolerance ? 1 : 0;
  this->stretch_sum += std::min(stretch, kMaxStretch);
  this->latency_sum += latency;
  this->close_window(in_flight, now);
}

void AdaptiveLimit::on_refused() noexcept {
  this->refused = true;
}

void AdaptiveLimit::on_overloaded(std::uint32_t in_flight,
                                  TimePoint now) noexcept {
  ++this->overloaded;
  this->close_window(in_flight, now);
}

void AdaptiveLimit::close_window(std::uint32_t in_flight,
                                 TimePoint now) noexcept {
  const std::uint32_t ended = this->finished + this->overloaded;
  const Duration mean_latency = this->finished > 0
                                    ? this->latency_sum / this->finished
                                    : Duration::zero();
  if (ended < kMinWindowRequests ||
      now - this->window_start <
          std::max<Duration>(kMinWindowDuration, mean_latency)) {
    return;
  }
  const double mean_stretch =
      this->finished > 0 ? this->stretch_sum / this->finished : 1;
  const double overloaded_share = static_cast<double>(this->overloaded) / ended;
  if (overloaded_share > kOverloadedShareThreshold) {
    this->value *= kOverloadDecreaseFactor;
  } else if (this->over_tolerance > kSlowShareThreshold * this->finished &&
             mean_stretch > kStretchTolerance) {
    this->value *=
        std::max(kMinDecreaseFactor, kStretchTolerance / mean_stretch);
  }
  this->value = std::max(this->value, kMinLimit);
  this->window_start = now;
  this->finished = 0;
  this->over_tolerance = 0;
  this->overloaded = 0;
  this->stretch_sum = 0;
  this->latency_sum = Duration::zero();
  this->peak_in_flight = in_flight;
}

}  // namespace ibismux::admission
