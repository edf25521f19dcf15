#include "ibismux/admission/adaptive_limit.h"

#include <algorithm>

namespace ibismux::admission {

namespace {

using std::chrono::milliseconds;

/// A window has at least so many ends of requests, and lasts at least so long.
constexpr std::uint32_t kFewestEnds = 8;
constexpr milliseconds kShortestWindow{20};
/// Calls may take so many times their work: some waiting keeps the leafs busy,
/// more only adds to the latency.
constexpr double kTolerance = 2.0;
/// Load makes nearly all requests wait, a straggling leaf only those that meet
/// it. So more than this share of them has to be over the tolerance, and none
/// counts for more than so many times its work.
constexpr double kWaitingShare = 0.5;
constexpr double kMostStretch = 5.0;
/// The share of overloaded ends from which the limit sinks.
constexpr double kOverloadedShare = 0.1;
constexpr double kOverloadedCut = 0.85;
/// A single window changes the limit no more than this.
constexpr double kDeepestCut = 0.7;
/// What a request that went well adds to a limit that is half reached: one for
/// each turn of the slots, a tenth of the limit where that is more, and a whole
/// one if somebody was refused since.
constexpr double kGrowth = 0.1;
/// Only a limit that is half reached says anything by going well; the other
/// half is room for a burst.
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
