#ifndef IBISMUX_QUERY_QUERY_REQUEST_H_
#define IBISMUX_QUERY_QUERY_REQUEST_H_

#include <memory>
#include <optional>
#include <string>

#include "ibismux/base/time.h"

namespace ibismux::query {

/// One caller's query, checked for form by the caller interface.
struct QueryRequest {
  std::string request_id;
  std::string service;
  std::string caller;  ///< Who asks, for limits; "anonymous" where not said.
  TimePoint received;
  /// What the caller allows; the service's own deadline where absent or longer.
  std::optional<std::chrono::milliseconds> deadline;
  /// Overrides the service's `min_coverage`, 0 to 1.
  std::optional<double> min_coverage;
  std::size_t most_hits = 10;
  std::shared_ptr<const std::string> body;  ///< Handed to leafs as it is.
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_QUERY_REQUEST_H_
