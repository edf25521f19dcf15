#ifndef IBISMUX_RELAY_RELAY_SETTINGS_H_
#define IBISMUX_RELAY_RELAY_SETTINGS_H_

#include <chrono>
#include <cstddef>

namespace ibismux::relay {

/// The pace of the spread of releases. docs/design/spread.md weighs it.
struct RelaySettings {
  std::chrono::milliseconds tick{50};
  std::size_t watchers = 2;  ///< Of the platform, in each availability zone.
  std::size_t fan_out = 8;   ///< Children of a daemon in its zone's tree.

  /// How often generations are compared with a peer, and how often while this
  /// daemon has no release.
  std::chrono::milliseconds compare_interval{3000};
  std::chrono::milliseconds first_compare_interval{300};

  /// Knowledge of the platform older than this is refreshed there.
  std::chrono::milliseconds self_help_after{30000};
  /// At the start: how long a watcher, and another daemon, leaves it to peers
  /// to have a release; the latter also waits a random time that grows with
  /// the fleet.
  std::chrono::milliseconds first_read_watcher{200};
  std::chrono::milliseconds first_read_other{2000};
  std::chrono::milliseconds first_read_per_member{5};
  /// Reads of the platform for self-help: one at once, then one in this time.
  std::chrono::milliseconds read_refill{10000};

  std::chrono::milliseconds report_interval{10000};  ///< With nothing changed.
  std::chrono::milliseconds report_expiry{30000};
  /// How often the zones are asked while somebody waits for a generation.
  std::chrono::milliseconds ask_interval{100};

  std::chrono::milliseconds request_timeout{2000};
  std::chrono::milliseconds platform_timeout{5000};
  std::chrono::milliseconds watch_wait{30000};
  std::chrono::milliseconds first_watch_retry{200};
  std::chrono::milliseconds most_watch_retry{5000};
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_RELAY_SETTINGS_H_
