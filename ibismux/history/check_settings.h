#ifndef IBISMUX_HISTORY_CHECK_SETTINGS_H_
#define IBISMUX_HISTORY_CHECK_SETTINGS_H_

#include "ibismux/history/history_record.h"

namespace ibismux::history {

/// What a history is held to.
struct CheckSettings {
  /// How long a leaf that leaves may still get new work.
  Instant leaving_allowed = std::chrono::seconds(2);
  /// How long after its acceptance a change must be in force everywhere.
  Instant in_force_allowed = std::chrono::seconds(3);
  /// For histories in which daemons are killed: a cut request is counted but is
  /// no violation.
  bool cuts_allowed = false;
};

}  // namespace ibismux::history

#endif  // IBISMUX_HISTORY_CHECK_SETTINGS_H_
