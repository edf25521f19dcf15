#include "ibismux/admission/adaptive_limit.h"

#include <algorithm>

namespace ibismux::admission {

namespace {

using std::chrono::milliseconds;

/// A window closes only after this many requests have ended and this much time
/// has passed.
constexpr std::uint32_t kFewestEnds = 8;
constexpr milliseconds kShortestWindow{20};
/// Highest stretch at which the limit isn't lowered. Some waiting keeps the
/// leafs busy; more only adds latency.
constexpr double kTolerance = 2.0;
/// Overload makes nearly all requests wait, whereas a straggling leaf delays
/// only the requests that call it. The limit is therefore lowered only if more
/// than this share of the requests is over the tolerance, and the stretch of a
/// single request is capped.
constexpr double kWaitingShare = 0.5;
constexpr double kMostStretch = 5.0;
/// The limit is lowered when more than this share of the requests that ended in
/// the window failed because leafs were overloaded.
constexpr double kOverloadedShare = 0.1;
constexpr double kOverloadedCut = 0.85;
/// Lowest factor by which a single window multiplies the limit.
constexpr double kDeepestCut = 0.7;
/// A request within the tolerance raises a limit that is in use by 1/limit, but
/// by no less than this, and by 1 if a request was refused since the last
/// increase.
constexpr double kGrowth = 0.1;
/// The limit is raised only if the requests in flight reached this share of it;
/// below that, good latency doesn't show that a higher limit would be safe. The
/// other half is room for a burst.
constexpr double kReached = 0.5;
constexpr double kLeast = 1;
constexpr double kMost = 100'000;

}  // namespace

void AdaptiveLimit::on_admitted(std::uint32_t in_flight) noexcept {
  this->peak = std::max(this->peak, in_flight);
}

void AdaptiveLimit::on_finished(double stretch,
                                Duration latency,
                                std::uint32_t in_flight,
                                TimePoint now) noexcept {
  if (stretch <= kTolerance && this->peak >= kReached * this->value) {
    const double one = this->refused ? 1 : 1 / this->value;
    this->value = std::min(kMost, this->value + std::max(kGrowth, one));
    this->refused = false;
  }
  ++this->finished;
  this->waited += stretch > kTolerance ? 1 : 0;
  this->stretch_sum += std::min(stretch, kMostStretch);
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
  const std::uint32_t ends = this->finished + this->overloaded;
  const Duration usual = this->finished > 0 ? this->latency_sum / this->finished
                                            : Duration::zero();
  if (ends < kFewestEnds ||
      now - this->window_start < std::max<Duration>(kShortestWindow, usual)) {
    return;
  }
  const double stretch =
      this->finished > 0 ? this->stretch_sum / this->finished : 1;
  const double refused = static_cast<double>(this->overloaded) / ends;
  if (refused > kOverloadedShare) {
    this->value *= kOverloadedCut;
  } else if (this->waited > kWaitingShare * this->finished &&
             stretch > kTolerance) {
    this->value *= std::max(kDeepestCut, kTolerance / stretch);
  }
  this->value = std::max(this->value, kLeast);
  this->window_start = now;
  this->finished = 0;
  this->waited = 0;
  this->overloaded = 0;
  this->stretch_sum = 0;
  this->latency_sum = Duration::zero();
  this->peak = in_flight;
}

}  // namespace ibismux::admission
