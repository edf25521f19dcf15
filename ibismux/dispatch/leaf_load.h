#ifndef IBISMUX_DISPATCH_LEAF_LOAD_H_
#define IBISMUX_DISPATCH_LEAF_LOAD_H_

#include <cstdint>
#include <optional>

namespace ibismux::dispatch {

/// What a leaf says of its own load, as of one of its answers.
struct LeafLoad {
  std::uint32_t running = 0;  ///< Requests that it works on.
  std::uint32_t waiting = 0;  ///< Requests in its queue.
  std::uint32_t slots = 1;  ///< Requests that it works on at once, at least 1.
  /// How many times the usual work takes on its machine at this moment. Absent
  /// where the leaf doesn't know.
  std::optional<double> slowdown;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LEAF_LOAD_H_
