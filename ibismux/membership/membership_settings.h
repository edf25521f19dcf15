#ifndef IBISMUX_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
#define IBISMUX_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_

#include <chrono>
#include <cstddef>

namespace ibismux::membership {

/// The pace of membership. The defaults hold from 2 to 2,400 daemons;
/// docs/design/membership.md weighs them.
struct MembershipSettings {
  /// Width of this host's link, told to the others, in Mbit/s; 0: not known.
  double link_mbps = 0;

  std::chrono::milliseconds tick{100};
  std::chrono::milliseconds probe_interval{500};
  std::chrono::milliseconds probe_timeout{400};
  /// Asked when a probe fails, before the target is suspected.
  std::size_t helpers = 2;
  /// How long a suspect may refute before it counts as failed.
  std::chrono::milliseconds suspicion{2000};
  std::size_t rings = 3;
  /// How often a failed or not yet met host is tried.
  std::chrono::milliseconds contact_interval{1000};
  /// For so long after its start, a daemon probes members, tries contacts and
  /// compares its table with those of others at a shorter interval: all daemons
  /// of a fleet may be starting, and those that it reaches first know as
  /// little.
  std::chrono::milliseconds start_period{4000};
  std::chrono::milliseconds start_interval{200};
  std::chrono::milliseconds start_tick{50};
  /// After so long without an answer from any, a daemon goes on alone.
  std::chrono::milliseconds join_patience{3000};
  std::chrono::milliseconds tombstones{2 * 60 * 60 * 1000};
  /// Records in one gossip message and in one piece of a pull.
  std::size_t most_records = 128;
  /// A table that has not changed for so long should equal its neighbours'.
  std::chrono::milliseconds quiet{2000};
  /// A tick that is later than this by the clock: the daemon was frozen.
  std::chrono::milliseconds stall{1000};

  /// How often the platform's host list is read, at least, and for each member
  /// more: the list grows with the fleet.
  std::chrono::milliseconds host_list_interval{5000};
  std::chrono::milliseconds host_list_interval_per_member{200};
  /// The same for a daemon that has met nobody: of a fleet that starts all at
  /// once the first ones are listed a moment later.
  std::chrono::milliseconds host_list_interval_alone{1500};
};

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
