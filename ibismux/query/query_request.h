#ifndef IBISMUX_QUERY_QUERY_REQUEST_H_
#define IBISMUX_QUERY_QUERY_REQUEST_H_

#include <memory>
#include <optional>
#include <string>

#include "ibismux/base/time.h"

namespace ibismux::query {

/// One caller's query, whose syntax the caller interface has validated.
struct QueryRequest {
  std::string request_id;
  std::string service;
  std::string caller;  ///< Caller's name for limits; "anonymous" if absent.
  TimePoint received;
  /// Time that the caller allows. The service's own deadline applies if this is
  /// absent or longer.
  std::optional<std::chrono::milliseconds> deadline;
  /// Overrides the service's `min_coverage`, 0 to 1.
  std::optional<double> min_coverage;
  std::size_t most_hits = 10;
  std::shared_ptr<const std::string> body;  ///< Passed to leafs unchanged.
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_QUERY_REQUEST_H_
