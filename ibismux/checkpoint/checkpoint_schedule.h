#ifndef IBISMUX_CHECKPOINT_CHECKPOINT_SCHEDULE_H_
#define IBISMUX_CHECKPOINT_CHECKPOINT_SCHEDULE_H_

#include <chrono>

#include "ibismux/base/time.h"

namespace ibismux::checkpoint {

/// Decides when the writer of the checkpoint writes it.
///
/// Uses no sockets and reads no clock; not thread safe. The times passed in
/// must not decrease.
class CheckpointSchedule {
 public:
  /// Least time between two writes: leafs that are replaced one after the other
  /// cause few of them.
  static constexpr std::chrono::seconds kMinInterval{5};

  /// What the daemon knows when it asks whether a write is due.
  struct State {
    bool is_writer = false;
    /// The registry answers, and no known leaf lacks its entry.
    bool is_complete = false;
  };

  /// Nothing is written in the first `kMinInterval`: a daemon that has just
  /// started may have listed leafs of which others are yet to write their
  /// entries again.
  /// @param started When the process has started.
  explicit CheckpointSchedule(TimePoint started) noexcept
      : not_before(started + kMinInterval) {}

  /// To be called with each check. Nothing is written within `kMinInterval`
  /// after an incomplete state either: leafs may be writing their entries
  /// again.
  void on_state(const State& state, TimePoint now) noexcept;
  /// A leaf was added or removed, or its address has changed.
  void on_change() noexcept { this->changed = true; }
  /// The object in the store holds what this daemon knows.
  void on_stored(TimePoint now) noexcept;
  /// A write or a read has failed; to be tried again after `kMinInterval`.
  void on_failure(TimePoint now) noexcept;

  [[nodiscard]] bool is_due(const State& state, TimePoint now) const noexcept;

 private:
  bool changed = false;
  TimePoint not_before;
};

}  // namespace ibismux::checkpoint

#endif  // IBISMUX_CHECKPOINT_CHECKPOINT_SCHEDULE_H_
