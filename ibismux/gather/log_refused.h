#ifndef IBISMUX_GATHER_LOG_REFUSED_H_
#define IBISMUX_GATHER_LOG_REFUSED_H_

#include <string_view>

#include "ibismux/base/error.h"
#include "ibismux/base/ids.h"
#include "ibismux/eventlog/event_log.h"

namespace ibismux::gather {

/// Logs that a message from `from` can't be decoded, and why. As thread safe as
/// the log.
inline void log_refused(eventlog::EventLog& log,
                        std::string_view event,
                        const Incarnation& from,
                        const Error& error) {
  log.event(eventlog::Weight::kBelief, event)
      .with("from", from.member)
      .with("reason", error.message);
}

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_LOG_REFUSED_H_
