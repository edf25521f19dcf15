#include "ibismux/customers/return_times.h"

#include <algorithm>
#include <cmath>

namespace ibismux::customers {

namespace {

// The promised tokens spread the callers of a load that has lasted for less.
constexpr std::chrono::seconds kBurst{2};
// Share of the time told by which callers are spread.
constexpr double kSpread = 0.5;
// The golden ratio's fraction: its multiples, modulo 1, leave no large gaps.
constexpr double kGoldenFraction = 0.6180339887498949;

}  // namespace

void ReturnTimes::on_refusal(bool is_near_limit, TimePoint now) noexcept {
  if (!this->since || now - this->last_refusal > kCalm) {
    this->since = now;
  }
  if (is_near_limit) {
    this->since = std::max<TimePoint>(*this->since, now - (kBurst - kCalm));
  }
  this->last_refusal = now;
}

Duration ReturnTimes::retry_after(Duration next_token, TimePoint now) {
  const bool goes_on = this->since && now - this->last_refusal <= kCalm;
  const Duration lasted = goes_on ? now - *this->since : Duration::zero();
  if (lasted <= kBurst) {
    return next_token;
  }
  double whole = 0;
  const double place =
      std::modf(static_cast<double>(++this->callers) * kGoldenFraction, &whole);
  const Duration told = scaled(lasted, 1 + kSpread * place);
  return std::max(next_token, std::min<Duration>(told, kMax));
}

}  // namespace ibismux::customers
