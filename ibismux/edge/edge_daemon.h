#ifndef IBISMUX_EDGE_EDGE_DAEMON_H_
#define IBISMUX_EDGE_EDGE_DAEMON_H_

#include <functional>
#include <memory>
#include <optional>

#include "ibismux/base/error.h"
#include "ibismux/edge/adapters.h"
#include "ibismux/edge/edge_settings.h"

namespace ibismux::edge {

/// The daemon on a platform that brings its own protocols: takes callers'
/// requests to leafs, by a configuration and a registry of leafs that it
/// follows in the platform's store. Keeps nothing; all daemons are equal.
///
/// One event loop on the calling thread: hosts have a part of one core, and a
/// second thread would only take turns with the first.
class EdgeDaemon {
 public:
  /// The settings as their file says now, or nothing where they are wrong (who
  /// reads them has said so) or, unless `asked`, where they haven't changed.
  using Reload = std::function<std::optional<EdgeSettings>(bool asked)>;

  EdgeDaemon(EdgeSettings settings, Adapters adapters, Reload reload);
  ~EdgeDaemon();
  EdgeDaemon(const EdgeDaemon&) = delete;
  EdgeDaemon& operator=(const EdgeDaemon&) = delete;

  /// Serves until SIGTERM or SIGINT and the end of what was in flight then.
  /// @return What kept it from listening.
  [[nodiscard]] Result<void> run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_EDGE_DAEMON_H_
