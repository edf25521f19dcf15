#ifndef IBISMUX_RELAY_RELAY_SETTINGS_H_
#define IBISMUX_RELAY_RELAY_SETTINGS_H_

#include <chrono>
#include <cstddef>

namespace ibismux::relay {

/// Settings of the distribution of releases. See docs/design/spread.md for the
/// trade-offs.
struct RelaySettings {
  std::chrono::milliseconds tick{50};
  std::size_t watchers = 2;  ///< Daemons of each availability zone that watch
                             ///< the platform.
  std::size_t fan_out = 8;   ///< Maximum children of a daemon in the tree.

  /// Interval between comparisons of generations with a peer; the second one
  /// applies while this daemon has no release.
  std::chrono::milliseconds compare_interval{3000};
  std::chrono::milliseconds initial_compare_interval{300};

  /// If this daemon's knowledge of the platform is older than this, it reads
  /// the head from the platform itself.
  std::chrono::milliseconds max_platform_age{30000};
  /// After its start, a daemon without a release waits this long for peers
  /// before it reads the platform. Daemons that are not watchers also wait a
  /// random time of up to `first_read_spread_per_member` times the fleet's
  /// size.
  std::chrono::milliseconds watcher_first_read_delay{200};
  std::chrono::milliseconds other_first_read_delay{2000};
  std::chrono::milliseconds first_read_spread_per_member{5};
  /// Minimum interval, before jitter, between these reads of the platform. It
  /// doesn't delay the first one.
  std::chrono::milliseconds min_read_interval{10000};

  std::chrono::milliseconds report_interval{10000};  ///< If nothing changed.
  std::chrono::milliseconds report_expiry{30000};
  /// Interval between polls of the zones while a caller waits for a generation
  /// to be in force.
  std::chrono::milliseconds zone_poll_interval{100};

  std::chrono::milliseconds request_timeout{2000};
  std::chrono::milliseconds platform_timeout{5000};
  std::chrono::milliseconds watch_wait{30000};
  std::chrono::milliseconds min_watch_retry_delay{200};
  std::chrono::milliseconds max_watch_retry_delay{5000};
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_RELAY_SETTINGS_H_
