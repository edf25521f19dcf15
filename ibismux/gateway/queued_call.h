#ifndef IBISMUX_GATEWAY_QUEUED_CALL_H_
#define IBISMUX_GATEWAY_QUEUED_CALL_H_

#include <memory>
#include <string>

#include "ibismux/base/ids.h"
#include "ibismux/base/priority.h"
#include "ibismux/base/time.h"

namespace ibismux::gateway {

class CallGroup;

/// One call that waits for its leaf.
struct QueuedCall {
  CallId id;
  Priority priority = Priority::kCatalogue;
  TimePoint deadline;
  TimePoint enqueued;
  std::string shard;
  std::shared_ptr<CallGroup> group;  ///< What it shares with its batch.
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_QUEUED_CALL_H_
