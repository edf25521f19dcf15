#include "ibismux/customers/stated_patience.h"

#include <algorithm>

namespace ibismux::customers {

namespace {

constexpr std::size_t kMinSamples = 4;
// Most callers have not been refused, and a few state what they like.
constexpr double kQuantile = 0.75;

}  // namespace

void StatedPatience::record(Duration left) {
  this->samples[this->count % kSamples] = left;
  ++this->count;
}

bool StatedPatience::is_late(Duration left, Duration objective) const {
  if (this->count < kMinSamples) {
    return false;
  }
  auto sorted = this->samples;
  const auto known = std::min(this->count, kSamples);
  const auto usual =
      sorted.begin() +
      static_cast<std::ptrdiff_t>(static_cast<double>(known - 1) * kQuantile);
  std::nth_element(sorted.begin(), usual,
                   sorted.begin() + static_cast<std::ptrdiff_t>(known));
  return *usual - left > objective;
}

}  // namespace ibismux::customers
