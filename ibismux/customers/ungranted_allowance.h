#ifndef IBISMUX_CUSTOMERS_UNGRANTED_ALLOWANCE_H_
#define IBISMUX_CUSTOMERS_UNGRANTED_ALLOWANCE_H_

#include <algorithm>
#include <utility>

#include "ibismux/base/time.h"

namespace ibismux::customers {

/// What a daemon may send of one customer while it reaches no owner of the
/// customer's limit: a share of what owners have granted it within the last
/// windows. As the grants of all daemons are within the limit, so are these
/// requests within that share of it.
///
/// The times passed in must not decrease. Not thread safe.
class UngrantedAllowance {
 public:
  explicit UngrantedAllowance(Duration window) : window(window) {}

  /// @param share What one grant adds.
  void on_grant(double share, TimePoint now) {
    this->advance(now);
    this->current += share;
  }

  [[nodiscard]] bool take(TimePoint now) {
    this->advance(now);
    if (this->current + this->previous < 1) {
      return false;
    }
    const double from_previous = std::min(1.0, this->previous);
    this->previous -= from_previous;
    this->current -= 1 - from_previous;
    return true;
  }

 private:
  void advance(TimePoint now) {
    if (now < this->current_until) {
      return;
    }
    const bool follows = now - this->current_until < this->window;
    this->previous = follows ? std::exchange(this->current, 0) : 0;
    this->current = 0;
    this->current_until = now + this->window;
  }

  Duration window;
  double current = 0;
  double previous = 0;
  TimePoint current_until{};
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_UNGRANTED_ALLOWANCE_H_
