#ifndef IBISMUX_DISPATCH_CALLER_REQUEST_H_
#define IBISMUX_DISPATCH_CALLER_REQUEST_H_

#include <memory>
#include <string>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/http/message.h"

namespace ibismux::dispatch {

/// One request of a caller, forwarded unmodified.
struct CallerRequest {
  std::string id;  ///< Of this attempt; a retry by the caller has another id.
  std::string host;
  std::string path;  ///< Without the query string.
  /// The method, target, body, and those header fields that are forwarded to
  /// leafs.
  std::shared_ptr<const http::Request> message;
  /// The values of the `Authorization` fields, which `message` doesn't have.
  std::vector<std::string> authorization;
  /// The customer that sent the request; empty if it isn't identified.
  std::string customer;
  /// How much of its limit the customer asks for; see `customers::RateGrant`.
  double customer_usage = 0;
  /// The request is the first one on its connection.
  bool opens_connection = false;
  TimePoint received;
  TimePoint deadline;  ///< When the caller stops waiting.
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_CALLER_REQUEST_H_
