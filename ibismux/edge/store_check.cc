#include "ibismux/edge/store_check.h"

#include <algorithm>

namespace ibismux::edge {

namespace {

using std::chrono::milliseconds;

// Interval of reads while the store doesn't answer. It is short so that an
// update is in force within a second of the store's recovery.
constexpr milliseconds kOutageInterval{300};
// After the store's recovery, a daemon that has a watcher in its zone waits
// this long for the updates of the watcher: the watcher needs time to read the
// store and to become a source that the daemon relies on.
constexpr milliseconds kWatcherTimeout{2200};
// The same for a daemon that relied on peers when the outage began: longer than
// the pause between their messages.
constexpr milliseconds kProbingWatcherTimeout{800};
// One read isn't enough, because a very recent change may not have reached the
// watch yet.
constexpr int kReadsUntilStalled = 2;

}  // namespace

Duration StoreCheck::interval(Duration usual) const noexcept {
  if (!this->was_lost) {
    return usual;
  }
  return this->asks_seldom ? this->pause : std::min(this->pause, usual);
}

void StoreCheck::set_recovered() noexcept {
  this->was_lost = false;
  this->failures = 0;
  this->asks_seldom = false;
  this->recovered_at.reset();
}

void StoreCheck::on_peer_updates() noexcept {
  this->set_recovered();
  if (this->probes) {
    this->probes->on_answer();
  }
}

void StoreCheck::on_failure(bool asks_often) noexcept {
  this->was_lost = true;
  ++this->failures;
  this->recovered_at.reset();
  this->asks_seldom = this->probes && !asks_often;
  this->pause =
      this->probes ? this->probes->on_failure(asks_often) : kOutageInterval;
}

CheckAction StoreCheck::on_answer(const Answer& answer,
                                  TimePoint now) noexcept {
  if (this->probes) {
    this->probes->on_answer();
  }
  if (this->was_lost || answer.any_lost || answer.is_probing) {
    // A store that answers an early question of a daemon whose peers know
    // nothing new is away for those peers only; a single answer may be lost.
    const bool is_away_for_peers = answer.is_probing && this->failures <= 1;
    this->recovered_at = this->recovered_at.value_or(now);
    // A daemon that has asked seldom may be late already.
    const Duration patience =
        answer.is_probing ? kProbingWatcherTimeout : kWatcherTimeout;
    const Duration left = remaining(*this->recovered_at + patience, now);
    if (answer.has_watcher && !is_away_for_peers && left > Duration::zero()) {
      this->pause = std::min(this->was_lost ? this->pause : kOutageInterval,
                             std::max<Duration>(left, kOutageInterval));
      this->was_lost = true;
      return CheckAction::kNone;
    }
    this->set_recovered();
    this->reads_behind = 0;
    // The answer doesn't confirm the local data yet. The data is out of date
    // until it is read again, and peers would rely on it.
    return CheckAction::kReadAgain;
  }
  if (answer.is_restored) {
    this->reads_behind = 0;
    return CheckAction::kReplaceWatch;
  }
  if (answer.is_behind) {
    // This answer must not confirm the local data: peers would rely on data
    // that is known to be old. The watch's answer will confirm it.
    if (++this->reads_behind < kReadsUntilStalled) {
      return CheckAction::kNone;
    }
    this->reads_behind = 0;
    return CheckAction::kReplaceWatch;
  }
  this->reads_behind = 0;
  return answer.all_current ? CheckAction::kContact : CheckAction::kNone;
}

}  // namespace ibismux::edge
