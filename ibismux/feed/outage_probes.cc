#include "ibismux/feed/outage_probes.h"

#include <algorithm>

namespace ibismux::feed {

Duration OutageProbes::on_failure(bool asks_often) {
  using std::chrono::milliseconds;
  if (asks_often) {
    return kProberPause;
  }
  milliseconds longest = kFirstPause;
  for (int i = 0; i < this->failures && longest < kMaxPause; ++i) {
    longest *= 2;
  }
  ++this->failures;
  const milliseconds half = std::min(longest, kMaxPause) / 2;
  // Random, so that daemons whose contacts aged together don't ask together.
  return half + milliseconds(
                    this->random(static_cast<std::uint32_t>(half.count()) + 1));
}

}  // namespace ibismux::feed
