#include "ibismux/edge/stall_detector.h"

#include <ctime>

namespace ibismux::edge {

StallDetector::BootTime StallDetector::boot_time() noexcept {
  std::timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace ibismux::edge
