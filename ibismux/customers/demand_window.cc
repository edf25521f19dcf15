#include "ibismux/customers/demand_window.h"

#include <algorithm>
#include <utility>

namespace ibismux::customers {

void DemandWindow::advance(TimePoint now) {
  const Duration passed = now - this->current_since;
  if (passed < this->window) {
    return;
  }
  const bool follows = passed < 2 * this->window;
  this->previous = follows ? std::exchange(this->current, 0) : 0;
  this->current = 0;
  this->current_since = follows ? this->current_since + this->window : now;
}

void DemandWindow::record(TimePoint now) {
  this->advance(now);
  this->current += 1;
}

double DemandWindow::count(TimePoint now) const {
  DemandWindow copy = *this;
  copy.advance(now);
  const double passed =
      to_seconds(now - copy.current_since) / to_seconds(this->window);
  return copy.current + copy.previous * std::clamp(1 - passed, 0.0, 1.0);
}

}  // namespace ibismux::customers
