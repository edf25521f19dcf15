#include "ibismux/customers/token_wait.h"

#include <algorithm>
#include <chrono>

#include "ibismux/customers/rate_check.h"

namespace ibismux::customers {

namespace {

// An owner in the same zone answers within this time.
constexpr std::chrono::milliseconds kAskTime{5};

}  // namespace

std::optional<TimePoint> TokenWait::decide(const RateCheck& check,
                                           TimePoint next_fit,
                                           int waits,
                                           TimePoint now) {
  const TimePoint ask_at = std::max(next_fit, now);
  const bool is_in_time = ask_at + kAskTime <= check.latest_start;
  if (check.is_late || !is_in_time || waits >= kMaxWaits ||
      !this->room.has_room(check.bytes)) {
    return std::nullopt;
  }
  this->room.enter(check.bytes);
  return ask_at;
}

}  // namespace ibismux::customers
