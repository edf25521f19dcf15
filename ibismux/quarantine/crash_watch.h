#ifndef IBISMUX_QUARANTINE_CRASH_WATCH_H_
#define IBISMUX_QUARANTINE_CRASH_WATCH_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "ibismux/quarantine/quarantine_record.h"
#include "ibismux/quarantine/request_digest.h"

namespace ibismux::quarantine {

class QuarantineTable;

/// Keeps one attempt of a caller from ending leaf after leaf.
///
/// A leaf that ends while it runs a request may have ended for any reason. So
/// the next call waits until all that are under way are over: a leaf that
/// answers one of them clears the request, and where none does, one leaf alone
/// is tried next. A request under which leafs end one after the other, each
/// with nothing else of it under way, is the cause.
///
/// Belongs to one event loop; not thread safe.
class CrashWatch {
 public:
  using Clock = std::function<UnixTime()>;

  /// How a call ended.
  enum class CallEnd : unsigned char {
    kAnswered,   ///< The leaf has run the request, well or not.
    kLeafEnded,  ///< Its process has, with the call under way.
    kOther,      ///< Not sent, turned away, given up, or lost otherwise.
  };

  /// @param table Outlives this.
  /// @param clock Tells the time of day.
  CrashWatch(QuarantineTable& table, RequestDigest digest, Clock clock);

  /// Whether a call may begin now. False: not before a call under way has
  /// ended, or `is_hopeless()`.
  [[nodiscard]] bool may_send() const;

  /// Each leaf that runs the request ends: none is called any more.
  [[nodiscard]] bool is_hopeless() const;

  /// Whether it matters what became of a leaf whose connection was lost: not
  /// after another one has answered.
  [[nodiscard]] bool asks_for_cause() const noexcept { return !this->answered; }

  void on_send() noexcept { ++this->under_way; }
  /// Precondition: one `on_send()` before each.
  /// @param leaf_run Names the run of the leaf.
  /// @return Whether what is held against the request has changed.
  bool on_end(CallEnd end, const std::string& leaf_run);

  [[nodiscard]] Standing standing() const;
  /// How long no leaf will get the request. Precondition: it is quarantined.
  [[nodiscard]] std::chrono::milliseconds held_for() const;

  /// @name Calls that wait until they may begin
  /// @{
  /// @param release Called where some may begin that could not before.
  void on_release(std::function<void()> release) {
    this->release = std::move(release);
  }
  /// A call has to wait.
  void on_wait() noexcept { this->has_waited = true; }
  /// To be called after each `on_end()`, once its part knows of it.
  void release_waiting() {
    if (this->has_waited) {
      this->release();
    }
  }
  /// @}

 private:
  QuarantineTable& table;
  const RequestDigest digest;
  const Clock clock;
  std::size_t under_way = 0;
  bool answered = false;
  /// A leaf has ended since no call was under way.
  bool crash_counted = false;
  bool has_waited = false;  ///< Hardly any request's call ever does.
  std::function<void()> release = [] {};
};

}  // namespace ibismux::quarantine

#endif  // IBISMUX_QUARANTINE_CRASH_WATCH_H_
