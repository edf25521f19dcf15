#ifndef IBISMUX_ADMISSION_RATE_METER_H_
#define IBISMUX_ADMISSION_RATE_METER_H_

#include <cstdint>
#include <memory>

#include "ibismux/base/time.h"

namespace ibismux::admission {

/// Counts requests in a sliding window. Checking and recording are separate, so
/// that several rules can be checked before the request is recorded in any.
///
/// Not thread safe; the owner locks.
class RateMeter {
 public:
  virtual ~RateMeter() = default;

  /// Time until one more request stays within `limit` per window; zero if it
  /// does now. For a limit of 0, the whole window.
  [[nodiscard]] virtual Duration wait(std::uint32_t limit, TimePoint now) = 0;

  /// Records a request at `now`.
  virtual void record(TimePoint now) = 0;

  /// Whether the window holds no request.
  [[nodiscard]] virtual bool idle(TimePoint now) = 0;
};

/// The largest limit that is counted exactly, at 8 bytes per request.
inline constexpr std::uint32_t kLargestExactLimit = 256;

/// Creates an exact log if `limit` is at most `kLargestExactLimit`, otherwise a
/// bucketed counter.
[[nodiscard]] std::unique_ptr<RateMeter> make_rate_meter(std::uint32_t limit,
                                                         Duration window);

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_RATE_METER_H_
