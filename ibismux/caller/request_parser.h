#ifndef IBISMUX_CALLER_REQUEST_PARSER_H_
#define IBISMUX_CALLER_REQUEST_PARSER_H_

#include <memory>
#include <optional>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/http/forward.h"
#include "ibismux/query/query_request.h"
#include "ibismux/reservation/reservation_request.h"

namespace ibismux::caller {

/// A caller's HTTP request with what the route and the server know of it.
struct IncomingRequest {
  std::shared_ptr<const http::Request> http;
  std::string request_id;
  std::string service;
  std::string key;  ///< The path's last part, where the route has one.
  TimePoint received;
};

/// What a question after a reservation key says.
struct KeyQuestion {
  std::string caller;
  std::string key;
  TimePoint deadline;
};

/// The caller's own request id, or nothing where absent. Thread safe.
/// Errors: kInvalidRequest.
[[nodiscard]] Result<std::optional<std::string>> parse_request_id(
    const http::Request& request);

/// Checks the form of a query's fields. The body is shared, not copied. Thread
/// safe. Errors: kInvalidRequest, naming the field and what is allowed.
[[nodiscard]] Result<query::QueryRequest> parse_query(
    const IncomingRequest& incoming);

/// The same for a reservation. Thread safe.
[[nodiscard]] Result<reservation::ReservationRequest> parse_reservation(
    const IncomingRequest& incoming);

/// The same for a question after a key. Thread safe.
[[nodiscard]] Result<KeyQuestion> parse_key_question(
    const IncomingRequest& incoming);

}  // namespace ibismux::caller

#endif  // IBISMUX_CALLER_REQUEST_PARSER_H_
