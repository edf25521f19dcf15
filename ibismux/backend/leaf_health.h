#ifndef IBISMUX_BACKEND_LEAF_HEALTH_H_
#define IBISMUX_BACKEND_LEAF_HEALTH_H_

#include <string>

namespace ibismux::backend {

/// What a leaf says of itself. It lags or misleads, so it is a hint at most:
/// what calls show goes before it.
struct LeafHealth {
  enum class State : unsigned char { kUnknown, kReady, kWarming, kDraining };

  State state = State::kUnknown;
  double load = 0;
};

/// Reads the body of a health answer; kUnknown where it makes no sense. Thread
/// safe.
[[nodiscard]] LeafHealth parse_health(const std::string& body) noexcept;

}  // namespace ibismux::backend

#endif  // IBISMUX_BACKEND_LEAF_HEALTH_H_
