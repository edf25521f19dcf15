#ifndef IBISMUX_DISPATCH_LEAF_LOAD_H_
#define IBISMUX_DISPATCH_LEAF_LOAD_H_

#include <cstdint>
#include <optional>

namespace ibismux::dispatch {

/// Load that a leaf reports in an answer.
struct LeafLoad {
  std::uint32_t running = 0;  ///< Requests being executed.
  std::uint32_t waiting = 0;  ///< Requests in its queue.
  std::uint32_t slots =
      1;  ///< Maximum of concurrently executed requests; >= 1.
  /// Current duration of work on the leaf's machine relative to the normal
  /// duration. Absent if the leaf doesn't know it.
  std::optional<double> slowdown;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LEAF_LOAD_H_
