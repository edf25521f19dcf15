#ifndef IBISMUX_EDGE_EDGE_DAEMON_H_
#define IBISMUX_EDGE_EDGE_DAEMON_H_

#include <functional>
#include <memory>
#include <optional>

#include "ibismux/base/error.h"
#include "ibismux/edge/adapters.h"
#include "ibismux/edge/edge_settings.h"

namespace ibismux::edge {

/// A daemon for a platform that supplies its own protocols. It forwards
/// callers' requests to leafs by a configuration and a registry of leafs, both
/// of which it follows in the platform's store. It has no persistent state, and
/// all daemons are equal.
///
/// It runs one event loop on the calling thread: a host has a fraction of one
/// core, so a second thread would only compete with the first.
class EdgeDaemon {
 public:
  /// Returns the current settings from the file. Returns nothing if they are
  /// invalid (the reader has reported that already) or, unless `forced`, if
  /// they haven't changed.
  using Reload = std::function<std::optional<EdgeSettings>(bool forced)>;

  EdgeDaemon(EdgeSettings settings, Adapters adapters, Reload reload);
  ~EdgeDaemon();
  EdgeDaemon(const EdgeDaemon&) = delete;
  EdgeDaemon& operator=(const EdgeDaemon&) = delete;

  /// Serves until SIGTERM or SIGINT, then until the requests in flight are
  /// answered or the stop limit of the settings is reached.
  /// @return The error if the daemon can't listen.
  [[nodiscard]] Result<void> run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_EDGE_DAEMON_H_
