#ifndef IBISMUX_QUARANTINE_CRASH_WATCH_H_
#define IBISMUX_QUARANTINE_CRASH_WATCH_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "ibismux/quarantine/quarantine_record.h"
#include "ibismux/quarantine/request_digest.h"

namespace ibismux::quarantine {

class QuarantineTable;

/// Prevents one attempt of a caller from crashing leaf after leaf.
///
/// A leaf whose process ends while it runs a request may have ended for any
/// reason. Therefore the next call of the request waits until all of its calls
/// in flight have ended. If a leaf answers one of them, the request is cleared;
/// otherwise it is sent to a single leaf next. If leafs end one after the
/// other, each while no other call of the request is in flight, the request is
/// considered the cause.
///
/// A request that no leaf has answered lately may be sent to a canary first: a
/// single leaf, or a few if the first one is slow. All other calls wait until
/// one of them has answered. Otherwise a query over many shards would end a
/// leaf of each of them before the first end is noticed (J. Dean, L. Barroso,
/// "The Tail at Scale", 2013).
///
/// Belongs to one event loop; not thread safe.
class CrashWatch {
 public:
  using Clock = std::function<UnixTime()>;

  /// How a call ended.
  enum class CallEnd : unsigned char {
    kAnswered,   ///< The leaf ran the request, successfully or not.
    kLeafEnded,  ///< The leaf's process ended during the call.
    kOther,      ///< Not sent, rejected, cancelled, or otherwise lost.
  };

  /// @param table Outlives this object.
  /// @param clock Returns the time of day.
  CrashWatch(QuarantineTable& table, RequestDigest digest, Clock clock);

  /// Whether a call may start now. If not, a call in flight has to end first,
  /// or the request is quarantined (see `is_quarantined()`).
  [[nodiscard]] bool may_send() const;

  /// Whether the request is quarantined, so that no further leaf is called.
  /// False once a leaf has answered this attempt.
  [[nodiscard]] bool is_quarantined() const;

  /// Whether to determine if a leaf whose connection was lost has ended. This
  /// is not needed once another leaf has answered the request.
  [[nodiscard]] bool needs_loss_cause() const noexcept {
    return !this->answered;
  }

  void on_send() noexcept { ++this->in_flight; }
  /// Precondition: each call was preceded by its own `on_send()`.
  /// @param leaf_run Identifies the run of the leaf.
  /// @return Whether the recorded evidence against the request has changed.
  bool on_end(CallEnd end, const std::string& leaf_run);

  [[nodiscard]] QuarantineState state() const;
  /// Time until the quarantine ends. Precondition: the request is quarantined.
  [[nodiscard]] std::chrono::milliseconds remaining_quarantine() const;

  /// @name Canaries
  /// @{
  /// Whether leafs have answered the request lately, so that it needs none.
  [[nodiscard]] bool was_answered_lately() const;
  /// Limits the calls in flight until a leaf has answered.
  void limit_first_calls(std::size_t limit) noexcept {
    this->first_calls = limit;
  }
  /// Ends the limit.
  void end_first_calls() noexcept { this->first_calls = kUnlimited; }
  /// The limit, or nothing if calls may be sent without one.
  [[nodiscard]] std::optional<std::size_t> first_call_limit() const noexcept {
    return this->answered || this->first_calls == kUnlimited
               ? std::nullopt
               : std::optional(this->first_calls);
  }
  /// @}

  /// @name Calls that wait until they may start
  /// @{
  /// @param on_released Called when calls that had to wait may be able to
  /// start.
  void on_release(std::function<void()> on_released) {
    this->on_released = std::move(on_released);
  }
  /// Records that a call has to wait.
  void on_wait() noexcept { this->has_waited = true; }
  /// To be called after each `on_end()`, once the part of the request to which
  /// the call belongs has processed the end.
  void release_waiting() {
    if (this->has_waited) {
      this->on_released();
    }
  }
  /// @}

 private:
  static constexpr std::size_t kUnlimited =
      std::numeric_limits<std::size_t>::max();

  QuarantineTable& table;
  const RequestDigest digest;
  const Clock clock;
  std::size_t in_flight = 0;
  std::size_t first_calls = kUnlimited;
  bool answered = false;
  /// A crash was counted since there was last no call in flight.
  bool crash_counted = false;
  bool has_waited = false;  ///< Whether a call ever had to wait; rarely so.
  std::function<void()> on_released = [] {};
};

}  // namespace ibismux::quarantine

#endif  // IBISMUX_QUARANTINE_CRASH_WATCH_H_
