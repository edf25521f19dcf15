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

/// Counts and times of requests and of calls to leafs. Not thread safe.
class DispatchMetrics {
 public:
  /// @param registry Takes the metrics ibismux_dispatch_*; outlives this.
  explicit DispatchMetrics(prometheus::Registry& registry);

  /// A request of `route` ended. @param error Null where it was answered.
  void request_ended(const std::string& route,
                     const Error* error,
                     bool partial,
                     Duration took);
  /// A call to a leaf ended. @param error Null where the leaf answered.
  void call_ended(const Error* error, Duration took) noexcept;
  /// A request is sent to a leaf. @param cause Absent: for the first time.
  void sent(std::optional<RepeatCause> cause, ZoneExit exit) noexcept;
  void repeated(RepeatCause cause) noexcept;
  /// A repeat was wanted and the budget had none.
  void repeat_refused(RepeatCause cause) noexcept;

  /// The process of a leaf ended with a call under way.
  void leaf_ended() noexcept;

  /// A leaf said something of its load that can't be read.
  void load_unreadable() noexcept;

  /// Writes how many calls were sent since the start, and why they left the
  /// zone, as one line: for who has the log of a daemon and not its metrics.
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
  /// By cause, first sends last, and by exit.
  std::array<std::array<prometheus::Counter*, kZoneExits>, kRepeatCauses + 1>
      sends;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_DISPATCH_METRICS_H_
