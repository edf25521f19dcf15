#ifndef IBISMUX_BACKEND_LEAF_HEALTH_H_
#define IBISMUX_BACKEND_LEAF_HEALTH_H_

#include <string>

namespace ibismux::backend {

/// Health as reported by the leaf itself. It can be outdated or wrong, so it is
/// only a hint; the outcomes of calls take precedence.
struct LeafHealth {
  enum class State : unsigned char { kUnknown, kReady, kWarming, kDraining };

  State state = State::kUnknown;
  double load = 0;
};

/// Parses the body of a health answer; the state is kUnknown if the body is
/// malformed or names no known state. Thread safe.
[[nodiscard]] LeafHealth parse_health(const std::string& body) noexcept;

}  // namespace ibismux::backend

#endif  // IBISMUX_BACKEND_LEAF_HEALTH_H_
