#ifndef IBISMUX_DISPATCH_DISPATCH_METRICS_H_
#define IBISMUX_DISPATCH_DISPATCH_METRICS_H_

#include <array>
#include <map>
#include <optional>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/dispatch/repeat_cause.h"
#include "ibismux/dispatch/zone_exit.h"
#include "ibismux/eventlog/forward.h"

namespace prometheus {
class Counter;
template <class T>
class Family;
class Histogram;
class Registry;
}  // namespace prometheus

namespace ibismux::dispatch {

/// Counters and latency histograms of requests and of calls to leafs. Not
/// thread safe.
class DispatchMetrics {
 public:
  /// @param registry Receives the metrics ibismux_dispatch_*; outlives this.
  explicit DispatchMetrics(prometheus::Registry& registry);

  /// Counts a finished request of `route`. @param error Null if it succeeded.
  void request_ended(const std::string& route,
                     const Error* error,
                     bool partial,
                     Duration took);
  /// Counts a finished call to a leaf. @param error Null if the leaf answered.
  void call_ended(const Error* error, Duration took) noexcept;
  /// Counts a request sent to a leaf. @param cause Absent for the first
  /// attempt.
  void sent(std::optional<RepeatCause> cause, ZoneExit exit) noexcept;
  void repeated(RepeatCause cause) noexcept;
  /// Counts a repeat that was not sent because the budget was exhausted.
  void repeat_refused(RepeatCause cause) noexcept;

  /// Counts a call during which the process of the leaf ended.
  void leaf_ended() noexcept;

  /// Counts an answer in which a leaf's load report could not be parsed.
  void load_unreadable() noexcept;

  /// Logs the number of calls sent since the start, by cause and zone exit, in
  /// one line, for readers who have the daemon's log but not its metrics.
  void log_sends(eventlog::EventLog& log) const;

 private:
  prometheus::Family<prometheus::Counter>* requests;
  prometheus::Family<prometheus::Histogram>* request_seconds;
  std::array<prometheus::Counter*, kErrorKinds + 1> calls;
  prometheus::Histogram* call_seconds;
  prometheus::Counter* unreadable_loads;
  prometheus::Counter* leafs_ended;
  std::array<prometheus::Counter*, kRepeatCauses> repeats;
  std::array<prometheus::Counter*, kRepeatCauses> refused_repeats;
  /// Indexed by cause, with first attempts last, then by zone exit.
  std::array<std::array<prometheus::Counter*, kZoneExits>, kRepeatCauses + 1>
      sends;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_DISPATCH_METRICS_H_
