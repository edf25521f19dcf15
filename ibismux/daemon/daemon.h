#ifndef IBISMUX_DAEMON_DAEMON_H_
#define IBISMUX_DAEMON_DAEMON_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "ibismux/base/error.h"
#include "ibismux/settings/forward.h"

namespace ibismux::daemon {

/// The ports that a daemon listens on.
struct Ports {
  std::uint16_t caller = 0;
  std::uint16_t peer = 0;
  std::uint16_t operators = 0;
};

/// One daemon: every package, built and connected.
class Daemon {
 public:
  explicit Daemon(const settings::Settings& settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Binds the ports and begins to serve. Precondition: not started.
  /// @return The ports, or why one could not be bound.
  [[nodiscard]] Result<Ports> start();

  /// `callback` runs, on another thread, when an operator asks this daemon to
  /// drain. Precondition: set once, after `start()`.
  void on_drain(std::function<void()> callback);

  /// Stops gracefully: not ready, peers told, work in flight ended (up to
  /// `stop_limit`), outcomes recorded, then everything closed. Blocks; called
  /// once, not from an event loop.
  void stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace ibismux::daemon

#endif  // IBISMUX_DAEMON_DAEMON_H_
