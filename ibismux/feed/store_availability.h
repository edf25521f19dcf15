#ifndef IBISMUX_FEED_STORE_AVAILABILITY_H_
#define IBISMUX_FEED_STORE_AVAILABILITY_H_

#include <chrono>
#include <optional>

#include "ibismux/base/time.h"

namespace ibismux::feed {

/// Tracks since when the platform's store has answered without interruption,
/// from the contacts that this daemon and its peers had with it.
///
/// Entries expire in the store during an outage, so entries that are missing
/// right after it may belong to running leafs. A daemon that only lost its own
/// connection to the store sees the same gap, but no entry has expired: each
/// missing entry was removed. Only its peers can tell it which of the two cases
/// applies. Without this distinction, when the store rejects the watcher of a
/// zone, the other daemons of the zone call leafs that have left for two
/// seconds longer than allowed.
///
/// Not thread safe. The times passed in must not decrease.
class StoreAvailability {
 public:
  /// A longer pause between two answers counts as an interruption. Watchers
  /// make a call every second, which takes some tenths of a second if the store
  /// is slow. Entries expire after three missed heartbeats, which is several
  /// seconds.
  static constexpr std::chrono::milliseconds kLongestPause{1500};

  explicit StoreAvailability(TimePoint now) noexcept
      : last(now), since(now), interrupted_at(now) {}

  /// The store answered this daemon.
  void on_answer(TimePoint now) noexcept;

  /// A call of this daemon to the store failed, or its host was suspended. The
  /// next answer starts a new period, unless a peer has had an answer since.
  void on_interruption(TimePoint now) noexcept { this->interrupted_at = now; }

  /// A peer reported its contacts, including those that other peers reported to
  /// it.
  /// @param age Time since the last answer known to the peer.
  /// @param available_for For how long the store has answered without
  /// interruption up to now.
  void on_peer(Duration age, Duration available_for, TimePoint now) noexcept;

  /// Start of the current period of answers without interruption.
  [[nodiscard]] TimePoint available_since() const noexcept {
    return this->since;
  }

 private:
  TimePoint last;   ///< Time of the latest known answer.
  TimePoint since;  ///< Start of the period that contains `last`.
  std::optional<TimePoint> interrupted_at;
};

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_STORE_AVAILABILITY_H_
