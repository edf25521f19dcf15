#ifndef IBISMUX_APPS_BENCH_CONTROL_SIM_SIM_NETWORK_H_
#define IBISMUX_APPS_BENCH_CONTROL_SIM_SIM_NETWORK_H_

#include <cstddef>

#include "ibismux/base/time.h"

namespace ibismux::bench {

/// A frame's header and those of TCP and IP, with one acknowledgement for two
/// segments.
inline constexpr std::size_t kOverhead = 14 + 52 + 26;

/// One way between two regions, which is taken for any two zones.
inline constexpr Duration kAcross = std::chrono::milliseconds(30);

}  // namespace ibismux::bench

#endif  // IBISMUX_APPS_BENCH_CONTROL_SIM_SIM_NETWORK_H_
