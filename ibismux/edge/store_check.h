#ifndef IBISMUX_EDGE_STORE_CHECK_H_
#define IBISMUX_EDGE_STORE_CHECK_H_

#include <chrono>
#include <optional>

#include "ibismux/base/time.h"
#include "ibismux/feed/outage_probes.h"

namespace ibismux::edge {

/// The action to take after one check read of the store.
enum class CheckAction : unsigned char {
  kNone,
  kContact,       ///< The store answers, and the local data is current.
  kReadAgain,     ///< The store is back; read all collections again.
  kReplaceWatch,  ///< The watch is stalled or useless; read all again.
};

/// Evaluates the check reads of a daemon that follows the store. The reads are
/// needed because a pending watch can't distinguish a store without changes
/// from one that has stopped answering.
///
/// Uses no sockets and no clock. Not thread safe. Precondition: the times that
/// are passed never decrease.
class StoreCheck {
 public:
  /// One answer of the store, compared with the local data.
  struct Answer {
    bool any_lost = false;     ///< Some collection is out of date.
    bool all_current = false;  ///< All are read from the store or watched.
    /// The store was restored from a copy after the collections were read.
    bool is_restored = false;
    bool is_behind = false;  ///< The store has a newer version of one.
    /// A peer in the zone should follow the store on behalf of this daemon.
    bool has_watcher = false;
    /// This daemon has turned from its peers to the store, and has not read the
    /// collections yet.
    bool is_probing = false;
  };

  /// @param probes Paces the reads while the store doesn't answer; without, all
  /// daemons read equally often.
  explicit StoreCheck(
      std::optional<feed::OutageProbes> probes = std::nullopt) noexcept
      : probes(probes) {}

  /// Returns the time until the next read.
  /// @param usual The interval while the store answers.
  [[nodiscard]] Duration interval(Duration usual) const noexcept;

  /// Peers forward updates, so this daemon reads nothing.
  void on_peer_updates() noexcept;
  /// A read failed.
  /// @param asks_often Whether others rely on this daemon, or it is alone.
  void on_failure(bool asks_often = true) noexcept;
  [[nodiscard]] CheckAction on_answer(const Answer& answer,
                                      TimePoint now) noexcept;

 private:
  void set_recovered() noexcept;

  std::optional<feed::OutageProbes> probes;
  bool was_lost = false;
  Duration pause{0};         ///< Until the next read while `was_lost`.
  bool asks_seldom = false;  ///< `pause` may exceed the usual interval.
  int failures = 0;          ///< In a row.
  std::optional<TimePoint> recovered_at;  ///< Set while a watcher is awaited.
  int reads_behind = 0;  ///< Consecutive answers with `is_behind`.
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_STORE_CHECK_H_
