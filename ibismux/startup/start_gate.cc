#include "ibismux/startup/start_gate.h"

#include <algorithm>
#include <array>

namespace ibismux::startup {

namespace {

using std::chrono::milliseconds;

struct Timing {
  /// How long after its start a daemon usually has it.
  milliseconds usual_after;
  /// How long a request waits for what is later than that.
  milliseconds overdue_wait;
  /// Retry-After when it is overdue, and after the start period.
  milliseconds retry_after;
};

// By `Need`. Later than usual, other daemons can be expected to know the owners
// of limits, since they know more members than this one.
constexpr std::array<Timing, kNeeds> kTimings{
    {{milliseconds(200), milliseconds(50), milliseconds(200)},
     {milliseconds(350), milliseconds(50), milliseconds(50)}}};

}  // namespace

StartGate::Decision StartGate::decide(Need need,
                                      TimePoint latest_start,
                                      std::size_t bytes,
                                      TimePoint now) {
  const Timing& timing = kTimings[static_cast<std::size_t>(need)];
  if (now - this->started > kStartPeriod) {
    return {std::nullopt, timing.retry_after, false};
  }
  const Duration until_usual = this->started + timing.usual_after - now;
  const Duration wait = std::max<Duration>(until_usual, timing.overdue_wait);
  const milliseconds retry_after = std::max(
      timing.retry_after, std::chrono::ceil<milliseconds>(until_usual));
  // A request that would be late after the wait is better refused at once: its
  // caller comes back when the daemon is ready.
  if (!this->room.has_room(bytes) || now + wait > latest_start) {
    return {std::nullopt, retry_after, true};
  }
  this->room.enter(bytes);
  return {now + wait, timing.retry_after, true};
}

}  // namespace ibismux::startup
