#ifndef IBISMUX_FEED_STORE_CONTACT_H_
#define IBISMUX_FEED_STORE_CONTACT_H_

#include <chrono>
#include <optional>

#include "ibismux/base/time.h"

namespace ibismux::feed {

/// Since when the platform's store has answered without a break, by all
/// contacts that this daemon and its peers had with it.
///
/// Entries lapse in the store while it is away, so what is missing from it
/// right after its return may belong to living leafs. A daemon that merely lost
/// its own way to the store sees the same gap, but nothing has lapsed: each
/// entry that is missing then was removed. Only the others can tell it which of
/// the two it was. Notice where this is missing: where the store turns away the
/// watcher of a zone, the other daemons of the zone go on calling leafs that
/// have left, for two seconds longer than they may.
///
/// Not thread safe. The times given never go back.
class StoreContact {
 public:
  /// A longer pause between two answers counts as a break. Watchers make a call
  /// each second, which takes some tenths of one where the store is slow;
  /// entries lapse after three missed heartbeats, several seconds.
  static constexpr std::chrono::milliseconds kLongestPause{1500};

  explicit StoreContact(TimePoint now) noexcept
      : last(now), since(now), broken_at(now) {}

  /// The store answered this daemon.
  void on_answer(TimePoint now) noexcept;

  /// A call of this daemon to the store failed, or its host stalled. The next
  /// answer begins anew, unless a peer has had one since.
  void on_break(TimePoint now) noexcept { this->broken_at = now; }

  /// The contacts of a peer, its own and those of which it was told.
  /// @param age Of the last answer that it knows of.
  /// @param unbroken For how long there were answers without a break, up to
  /// now.
  void on_peer(Duration age, Duration unbroken, TimePoint now) noexcept;

  /// When the answers that have come without a break began.
  [[nodiscard]] TimePoint unbroken_since() const noexcept {
    return this->since;
  }

 private:
  TimePoint last;   ///< The latest answer that is known of.
  TimePoint since;  ///< The first one of those without a break before `last`.
  std::optional<TimePoint> broken_at;
};

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_STORE_CONTACT_H_
