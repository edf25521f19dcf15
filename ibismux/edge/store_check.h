#ifndef IBISMUX_EDGE_STORE_CHECK_H_
#define IBISMUX_EDGE_STORE_CHECK_H_

#include <chrono>
#include <optional>

#include "ibismux/base/time.h"

namespace ibismux::edge {

/// What to do after one cheap read of the store.
enum class CheckAction : unsigned char {
  kNone,
  kContact,    ///< The store answers, and what is known here is what it holds.
  kReadAgain,  ///< It is back: all collections are to be read again.
  kReplaceWatch,  ///< Its watch has stalled, or is of no use: the same.
};

/// Decides what the cheap reads of a daemon that follows the store tell. A
/// watch that waits can't tell a store without changes from one that has
/// stopped answering.
///
/// No sockets, no clock of its own; not thread safe. The times given never go
/// back.
class StoreCheck {
 public:
  /// What one answer was compared with.
  struct Answer {
    bool any_lost = false;     ///< Some collection counts as out of date.
    bool all_current = false;  ///< All are read from there, or watched.
    bool is_restored = false;  ///< From a copy, since they were read.
    bool is_behind = false;    ///< The store has a newer version of one.
    /// Some peer of the zone is to follow the store for this daemon.
    bool has_watcher = false;
  };

  /// How long until the next read. @param usual While all is well.
  [[nodiscard]] Duration interval(Duration usual) const noexcept;

  /// Peers bring updates: nothing is read here.
  void on_peers() noexcept;
  /// A read failed.
  void on_failure() noexcept;
  [[nodiscard]] CheckAction on_answer(const Answer& answer,
                                      TimePoint now) noexcept;

 private:
  bool was_lost = false;
  std::optional<TimePoint> back_since;  ///< While a watcher's read is awaited.
  int behind = 0;                       ///< Reads in a row that were ahead.
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_STORE_CHECK_H_
