#ifndef IBISMUX_DISPATCH_CALLER_REQUEST_H_
#define IBISMUX_DISPATCH_CALLER_REQUEST_H_

#include <memory>
#include <string>

#include "ibismux/base/time.h"
#include "ibismux/http/message.h"

namespace ibismux::dispatch {

/// One request of a caller, to be passed on whole.
struct CallerRequest {
  std::string id;  ///< Of this attempt of the caller; a repeat has another one.
  std::string host;
  std::string path;  ///< Without the query part.
  /// Method, target, body, and the header fields that leafs get to see.
  std::shared_ptr<const http::Request> message;
  /// The first of its connection.
  bool opens_connection = false;
  TimePoint received;
  TimePoint deadline;  ///< When the caller stops waiting.
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_CALLER_REQUEST_H_
