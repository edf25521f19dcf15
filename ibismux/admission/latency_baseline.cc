#include "ibismux/admission/latency_baseline.h"

#include <algorithm>
#include <cmath>

namespace ibismux::admission {

namespace {

/// So many latencies give one mean.
constexpr std::uint32_t kGroup = 16;
/// The least mean rises by this share each second until one is as low again.
constexpr double kDriftASecond = 0.005;

}  // namespace

double LatencyBaseline::stretch(Duration latency, TimePoint now) noexcept {
  this->sum += latency;
  if (++this->count == kGroup) {
    this->close_group(now);
  }
  return this->stretch_of(latency);
}

double LatencyBaseline::stretch_of(Duration latency) const noexcept {
  if (this->least <= Duration::zero()) {
    return 1;
  }
  return static_cast<double>(latency.count()) /
         static_cast<double>(this->least.count());
}

void LatencyBaseline::close_group(TimePoint now) noexcept {
  const Duration mean = this->sum / this->count;
  this->sum = Duration::zero();
  this->count = 0;
  if (this->least > Duration::zero()) {
    const std::chrono::duration<double> age = now - this->least_at;
    this->least = std::chrono::duration_cast<Duration>(
        this->least * std::pow(1 + kDriftASecond, std::max(0.0, age.count())));
  }
  this->least_at = now;
  if (this->least <= Duration::zero() || mean < this->least) {
    this->least = mean;
  }
}

}  // namespace ibismux::admission
