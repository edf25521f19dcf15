#include "ibismux/feed/store_availability.h"

#include <algorithm>

namespace ibismux::feed {

void StoreAvailability::on_answer(TimePoint now) noexcept {
  if (this->interrupted_at || now - this->last > kLongestPause) {
    this->since = now;
  }
  this->interrupted_at.reset();
  this->last = std::max(this->last, now);
}

void StoreAvailability::on_peer(Duration age,
                                Duration available_for,
                                TimePoint now) noexcept {
  const TimePoint their_last = now - age;
  const TimePoint their_since = now - available_for;
  const bool is_older_than_break =
      this->interrupted_at && their_last <= *this->interrupted_at;
  if (is_older_than_break || their_last + kLongestPause < this->since) {
    return;
  }
  // If both periods overlap, the store answered without interruption since the
  // earlier start: one daemon received the answers that the other one missed. A
  // peer's period that starts soon after the last known answer only shows that
  // the peer had lost its own connection.
  const bool starts_new_period =
      this->interrupted_at || their_since > this->last + kLongestPause;
  this->since =
      starts_new_period ? their_since : std::min(this->since, their_since);
  this->interrupted_at.reset();
  this->last = std::max(this->last, their_last);
}

}  // namespace ibismux::feed
