#ifndef IBISMUX_ADMISSION_RATE_METER_H_
#define IBISMUX_ADMISSION_RATE_METER_H_

#include <cstdint>
#include <memory>

#include "ibismux/base/time.h"

namespace ibismux::admission {

/// Counts requests in a sliding window. Asking and recording are two steps, so
/// that several rules can all be asked before any of them records.
///
/// Not thread safe; the group that owns it locks.
class RateMeter {
 public:
  virtual ~RateMeter() = default;

  /// How long until one more request keeps within `limit` a window; zero if it
  /// does now. A limit of 0 gives the whole window.
  [[nodiscard]] virtual Duration wait(std::uint32_t limit, TimePoint now) = 0;

  /// Counts a request at `now`.
  virtual void record(TimePoint now) = 0;

  /// Whether the window holds nothing.
  [[nodiscard]] virtual bool idle(TimePoint now) = 0;
};

/// The largest limit that is counted exactly, at 8 bytes a request.
inline constexpr std::uint32_t kLargestExactLimit = 256;

/// An exact log for a small limit, a bucketed counter for a large one.
[[nodiscard]] std::unique_ptr<RateMeter> make_rate_meter(std::uint32_t limit,
                                                         Duration window);

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_RATE_METER_H_
