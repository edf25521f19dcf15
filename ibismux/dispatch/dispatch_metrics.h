#ifndef IBISMUX_DISPATCH_DISPATCH_METRICS_H_
#define IBISMUX_DISPATCH_DISPATCH_METRICS_H_

#include <array>
#include <map>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/dispatch/repeat_cause.h"

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
  void repeated(RepeatCause cause) noexcept;
  /// A repeat was wanted and the budget had none.
  void repeat_refused(RepeatCause cause) noexcept;

 private:
  prometheus::Family<prometheus::Counter>* requests;
  prometheus::Family<prometheus::Histogram>* request_seconds;
  std::array<prometheus::Counter*, kErrorKinds + 1> calls;
  prometheus::Histogram* call_seconds;
  std::array<prometheus::Counter*, kRepeatCauses> repeats;
  std::array<prometheus::Counter*, kRepeatCauses> refused_repeats;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_DISPATCH_METRICS_H_
