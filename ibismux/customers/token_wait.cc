#include "ibismux/customers/token_wait.h"

#include <algorithm>
#include <chrono>
#include <optional>

#include "ibismux/customers/rate_check.h"

namespace ibismux::customers {

namespace {

// An owner usually answers within this time.
constexpr std::chrono::milliseconds kAskTime{5};

}  // namespace

TimePoint TokenWait::latest_token(const RateCheck& check) noexcept {
  return check.is_late ? TimePoint::min() : check.latest_start - kAskTime;
}

std::optional<TimePoint> TokenWait::decide(const RateCheck& check,
                                           TimePoint next_fit,
                                           int waits,
                                           TimePoint now) {
  const TimePoint ask_at = std::max(next_fit, now);
  if (waits >= kMaxWaits || ask_at > latest_token(check) ||
      !this->room.has_room(check.bytes)) {
    return std::nullopt;
  }
  this->room.enter(check.bytes);
  return ask_at;
}

}  // namespace ibismux::customers
