#ifndef IBISMUX_GATEWAY_LEAF_STATUS_H_
#define IBISMUX_GATEWAY_LEAF_STATUS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace ibismux::gateway {

/// Whether a leaf gets new calls.
enum class LeafState : unsigned char {
  kReady,
  kWarming,
  kLeaving,
  kEjected,
  kUnreachable,
  kRetired,  ///< This daemon has no connections to it any more.
};

/// Label of metrics, logs and status. Thread safe.
[[nodiscard]] constexpr std::string_view to_string(LeafState state) noexcept {
  constexpr std::string_view kNames[] = {"ready",   "warming",     "leaving",
                                         "ejected", "unreachable", "retired"};
  return kNames[static_cast<std::size_t>(state)];
}

/// One leaf as its gateway sees it, for operators.
struct LeafStatus {
  std::string leaf;
  LeafState state = LeafState::kReady;
  double limit = 0;  ///< Calls at once.
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  std::size_t connections = 0;  ///< Open or being opened, control included.
  std::size_t share = 0;        ///< The most that they may be.
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_LEAF_STATUS_H_
