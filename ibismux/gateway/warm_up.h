#ifndef IBISMUX_GATEWAY_WARM_UP_H_
#define IBISMUX_GATEWAY_WARM_UP_H_

#include <chrono>

#include "ibismux/base/time.h"

namespace ibismux::gateway {

/// Whether the gateway of a leaf holds connections open with no call waiting.
///
/// Not at once: a daemon that starts is alone in its view for a moment and
/// takes itself for the gateway of every leaf. Opening connections then, it
/// fills the leafs' limits beside the gateways that serve. Notice: leafs refuse
/// connections while a daemon starts. Calls open connections at any time.
///
/// Holds no clock. Not thread safe.
class WarmUp {
 public:
  /// How long a daemon must be the gateway first.
  static constexpr Duration kSettle = std::chrono::seconds(1);

  /// @param gateway Whether this daemon is the leaf's gateway from now on.
  void declare(bool gateway, TimePoint now) noexcept {
    if (gateway && !this->is_gateway) {
      this->since = now;
    }
    this->is_gateway = gateway;
  }

  [[nodiscard]] bool holds(TimePoint now) const noexcept {
    return this->is_gateway && now - this->since >= kSettle;
  }

 private:
  bool is_gateway = false;
  TimePoint since{};
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_WARM_UP_H_
