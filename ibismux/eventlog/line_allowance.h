#ifndef IBISMUX_EVENTLOG_LINE_ALLOWANCE_H_
#define IBISMUX_EVENTLOG_LINE_ALLOWANCE_H_

#include <algorithm>
#include <cstdint>

#include "ibismux/base/time.h"

namespace ibismux::eventlog {

/// How many lines of one kind may still be written: a token bucket that saves
/// the lines of one second, and counts what it turned away.
///
/// Not thread safe. The times given never go back.
class LineAllowance {
 public:
  LineAllowance(double per_second, TimePoint now) noexcept
      : per_second(per_second), left(per_second), filled_at(now) {}

  /// Takes one line. @return False, and counts it, if there is none left.
  [[nodiscard]] bool take(TimePoint now) noexcept {
    const std::chrono::duration<double> passed =
        remaining(now, this->filled_at);
    this->left = std::min(this->per_second,
                          this->left + passed.count() * this->per_second);
    this->filled_at = std::max(this->filled_at, now);
    if (this->left < 1) {
      ++this->turned_away;
      return false;
    }
    this->left -= 1;
    return true;
  }

  /// How many lines were turned away since the last call.
  [[nodiscard]] std::uint64_t take_turned_away() noexcept {
    const std::uint64_t count = this->turned_away;
    this->turned_away = 0;
    return count;
  }

 private:
  const double per_second;
  double left;
  TimePoint filled_at;
  std::uint64_t turned_away = 0;
};

}  // namespace ibismux::eventlog

#endif  // IBISMUX_EVENTLOG_LINE_ALLOWANCE_H_
