#ifndef IBISMUX_BACKEND_LEAF_REQUEST_H_
#define IBISMUX_BACKEND_LEAF_REQUEST_H_

#include <memory>
#include <string>

#include "ibismux/base/ids.h"
#include "ibismux/base/priority.h"
#include "ibismux/base/time.h"

namespace ibismux::backend {

/// One call as it is written to a leaf.
struct LeafRequest {
  CallId id;
  /// A query may run twice without harm; a reservation may not.
  bool idempotent = true;
  std::string snapshot;
  std::string shard;
  Priority priority = Priority::kCatalogue;
  TimePoint deadline;  ///< Sent as the time that remains.
  std::string key;     ///< Reservations: the idempotency key, or empty.
  std::shared_ptr<const std::string> body;
};

}  // namespace ibismux::backend

#endif  // IBISMUX_BACKEND_LEAF_REQUEST_H_
