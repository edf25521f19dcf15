#ifndef IBISMUX_RELEASE_PUBLISHER_SETTINGS_H_
#define IBISMUX_RELEASE_PUBLISHER_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "ibismux/base/ids.h"

namespace ibismux::release {

/// How a daemon takes its part in publishing.
struct PublisherSettings {
  /// How many daemons, those of the lowest ranks, watch the operators' objects.
  std::size_t watchers = 2;
  /// How much longer than the rank before it each rank waits with a change, so
  /// that the others hear of its release instead of colliding with it.
  std::chrono::milliseconds rank_step{250};
  /// Also how long a change may wait where watches fall silent.
  std::chrono::milliseconds watch_wait{5000};
  /// Between two looks at what was written: a change that comes alone is taken
  /// up at once, many that come together share their releases.
  std::chrono::milliseconds least_interval{100};
  /// How long a daemon that doesn't watch gives the others to publish what was
  /// written through it, before it does so itself.
  std::chrono::milliseconds stand_by_wait{2000};
  std::chrono::milliseconds call_timeout{3000};
  std::chrono::milliseconds first_retry{100};
  std::chrono::milliseconds longest_retry{5000};
  /// For how many generations a chunk that is no longer named is kept, for
  /// daemons that are still fetching an older release.
  Generation garbage_grace = 8;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_PUBLISHER_SETTINGS_H_
