#include "ibismux/admission/sliding_window_log.h"

#include <algorithm>

namespace ibismux::admission {

Duration SlidingWindowLog::wait(std::uint32_t limit, TimePoint now) {
  this->remove_expired(now);
  if (limit == 0) {
    return this->window;
  }
  if (this->times.size() < limit) {
    return Duration::zero();
  }
  // More requests than `limit` may be logged, because the limit can be lowered;
  // then several have to leave the window first.
  const std::size_t excess = this->times.size() - limit;
  return this->times[excess] + this->window - now;
}

void SlidingWindowLog::record(TimePoint now) {
  // Threads read the clock before they lock, so times may arrive out of order.
  // In an unsorted log, entries would be kept after they have left the window.
  this->times.push_back(
      this->times.empty() ? now : std::max(now, this->times.back()));
}

bool SlidingWindowLog::idle(TimePoint now) {
  this->remove_expired(now);
  return this->times.empty();
}

void SlidingWindowLog::remove_expired(TimePoint now) {
  while (!this->times.empty() && now - this->times.front() >= this->window) {
    this->times.pop_front();
  }
}

}  // namespace ibismux::admission
