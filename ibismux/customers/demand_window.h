#ifndef IBISMUX_CUSTOMERS_DEMAND_WINDOW_H_
#define IBISMUX_CUSTOMERS_DEMAND_WINDOW_H_

#include "ibismux/base/time.h"

namespace ibismux::customers {

/// The number of requests within the last window.
///
/// Counts are kept for the current window and the one before, which counts by
/// the part of it that is not yet a window ago. The times passed in must not
/// decrease. Not thread safe.
class DemandWindow {
 public:
  /// Precondition: `window` is positive.
  DemandWindow(Duration window, TimePoint now)
      : window(window), current_since(now) {}

  void record(TimePoint now);

  /// The requests of the window that ends at `now`.
  [[nodiscard]] double count(TimePoint now) const;

 private:
  void advance(TimePoint now);

  Duration window;
  TimePoint current_since;
  double current = 0;
  double previous = 0;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_DEMAND_WINDOW_H_
