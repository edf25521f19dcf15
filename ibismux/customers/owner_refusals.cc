#include "ibismux/customers/owner_refusals.h"

#include <algorithm>
#include <chrono>

namespace ibismux::customers {

namespace {

// An owner that refused is asked again after this long at the latest: a token
// that was promised to a caller elsewhere may not have been taken.
constexpr std::chrono::milliseconds kMaxPause{100};

}  // namespace

void OwnerRefusals::record(const std::string& owner,
                           TimePoint next_token,
                           TimePoint now) {
  this->by_owner[owner] = {now, next_token,
                           std::min<TimePoint>(next_token, now + kMaxPause)};
}

std::optional<TimePoint> OwnerRefusals::next_token(const std::string& owner,
                                                   TimePoint latest_token,
                                                   TimePoint now) const {
  const auto refusal = this->by_owner.find(owner);
  if (refusal == this->by_owner.end() || refusal->second.paused_until <= now ||
      refusal->second.next_token <= latest_token) {
    return std::nullopt;
  }
  return refusal->second.next_token;
}

}  // namespace ibismux::customers
