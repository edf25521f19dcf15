#ifndef IBISMUX_ADMISSION_SLIDING_WINDOW_LOG_H_
#define IBISMUX_ADMISSION_SLIDING_WINDOW_LOG_H_

#include <deque>

#include "ibismux/admission/rate_meter.h"

namespace ibismux::admission {

/// Keeps the timestamp of each request in the window. Exact; memory grows with
/// the limit.
class SlidingWindowLog final : public RateMeter {
 public:
  explicit SlidingWindowLog(Duration window) : window(window) {}

  [[nodiscard]] Duration wait(std::uint32_t limit, TimePoint now) override;
  void record(TimePoint now) override;
  [[nodiscard]] bool idle(TimePoint now) override;

 private:
  void remove_expired(TimePoint now);

  Duration window;
  std::deque<TimePoint> times;  ///< In ascending order.
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_SLIDING_WINDOW_LOG_H_
