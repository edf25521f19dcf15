#ifndef IBISMUX_DISPATCH_REQUEST_END_H_
#define IBISMUX_DISPATCH_REQUEST_END_H_

#include <functional>

#include "ibismux/base/time.h"
#include "ibismux/dispatch/answer.h"
#include "ibismux/dispatch/forward.h"
#include "ibismux/eventlog/forward.h"

namespace ibismux::dispatch {

/// Counts a request that has ended, unless a peer counts it among its own, and
/// writes its `request_end` line. Not thread safe.
///
/// @param partial Some shards are missing from the answer.
/// @param add_fields Adds what this way of answering has to tell; called only
/// where the line is written.
void note_request_end(
    const RequestContext& context,
    const Outcome& outcome,
    bool partial,
    TimePoint now,
    const std::function<void(eventlog::Event& line)>& add_fields);

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_REQUEST_END_H_
