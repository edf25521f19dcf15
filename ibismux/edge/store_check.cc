#include "ibismux/edge/store_check.h"

#include <algorithm>

namespace ibismux::edge {

namespace {

using std::chrono::milliseconds;

// Between cheap reads of a store that doesn't answer: an update is in force
// within a second of its return.
constexpr milliseconds kLostInterval{300};
// After the store's return: how long a daemon that has a watcher in its zone
// waits for what that one reads: time for it to read, and for its updates to be
// relied on.
constexpr milliseconds kWatcherReturnTime{2200};
// A change that is a moment old may still be on its way to the watch.
constexpr int kReadsUntilStalled = 2;

}  // namespace

Duration StoreCheck::interval(Duration usual) const noexcept {
  return this->was_lost ? std::min<Duration>(kLostInterval, usual) : usual;
}

void StoreCheck::on_peers() noexcept {
  this->was_lost = false;
  this->back_since.reset();
}

void StoreCheck::on_failure() noexcept {
  this->was_lost = true;
  this->back_since.reset();
}

CheckAction StoreCheck::on_answer(const Answer& answer,
                                  TimePoint now) noexcept {
  if (this->was_lost || answer.any_lost) {
    this->back_since = this->back_since.value_or(now);
    this->was_lost =
        answer.has_watcher && now < *this->back_since + kWatcherReturnTime;
    if (this->was_lost) {
      return CheckAction::kNone;
    }
    this->back_since.reset();
    this->behind = 0;
    // No contact yet: what is known is as old as before until it is read
    // again, and peers would rely on it.
    return CheckAction::kReadAgain;
  }
  if (answer.is_restored) {
    this->behind = 0;
    return CheckAction::kReplaceWatch;
  }
  if (answer.is_behind) {
    // The watch's answer will be a contact. This one would have peers rely on
    // what is known here, which is known to be old.
    if (++this->behind < kReadsUntilStalled) {
      return CheckAction::kNone;
    }
    this->behind = 0;
    return CheckAction::kReplaceWatch;
  }
  this->behind = 0;
  return answer.all_current ? CheckAction::kContact : CheckAction::kNone;
}

}  // namespace ibismux::edge
