#ifndef IBISMUX_GATEWAY_RECONNECT_PAUSE_H_
#define IBISMUX_GATEWAY_RECONNECT_PAUSE_H_

#include <algorithm>

#include "ibismux/gateway/gateway_settings.h"

namespace ibismux::gateway {

/// How long to wait after a connection to a leaf could not be opened: it
/// doubles up to a limit.
///
/// Not thread safe.
class ReconnectPause {
 public:
  /// @param settings Outlive the object.
  explicit ReconnectPause(const GatewaySettings& settings)
      : settings(settings) {}

  void opened() noexcept { this->next = Duration::zero(); }

  /// @param alone Whether no connection to the leaf is left. Then the leaf is
  /// out of use until one opens, and a dial that nobody answers costs it
  /// nothing; with a long pause a leaf that is back stays out of use, which
  /// shows as its replicas' queues growing. With others open it is the leaf
  /// that turns the surplus away, and each try costs it work.
  /// @return The pause before the next try.
  [[nodiscard]] Duration failed(bool alone) noexcept {
    const Duration longest = alone ? this->settings.longest_pause_alone
                                   : this->settings.longest_pause;
    this->next =
        std::clamp(this->next * 2, this->settings.reconnect_pause, longest);
    return this->next;
  }

 private:
  const GatewaySettings& settings;
  Duration next{};
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_RECONNECT_PAUSE_H_
