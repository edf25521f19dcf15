#ifndef IBISMUX_DISPATCH_REQUEST_END_H_
#define IBISMUX_DISPATCH_REQUEST_END_H_

#include <functional>

#include "ibismux/base/time.h"
#include "ibismux/dispatch/answer.h"
#include "ibismux/dispatch/forward.h"
#include "ibismux/eventlog/forward.h"

namespace ibismux::dispatch {

/// Counts a request that has ended, unless it was gathered for a peer, which
/// counts it itself, and logs its `request_end` event. Not thread safe.
///
/// @param partial Some shards are missing from the answer.
/// @param add_fields Adds the fields that are specific to how the request was
/// answered; called only if the event is logged.
void record_request_end(
    const RequestContext& context,
    const Outcome& outcome,
    bool partial,
    TimePoint now,
    const std::function<void(eventlog::Event& line)>& add_fields);

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_REQUEST_END_H_
