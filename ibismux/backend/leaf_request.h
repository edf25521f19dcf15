#ifndef IBISMUX_BACKEND_LEAF_REQUEST_H_
#define IBISMUX_BACKEND_LEAF_REQUEST_H_

#include <memory>
#include <string>

#include "ibismux/base/ids.h"
#include "ibismux/base/priority.h"
#include "ibismux/base/time.h"

namespace ibismux::backend {

/// The content of one call to a leaf.
struct LeafRequest {
  CallId id;
  /// True for a query, false for a reservation, which must not run twice.
  bool idempotent = true;
  std::string snapshot;
  std::string shard;
  Priority priority = Priority::kCatalogue;
  TimePoint deadline;  ///< Sent as the remaining time.
  std::string key;     ///< Idempotency key of a reservation, or empty.
  std::shared_ptr<const std::string> body;
};

}  // namespace ibismux::backend

#endif  // IBISMUX_BACKEND_LEAF_REQUEST_H_
