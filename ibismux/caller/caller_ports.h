#ifndef IBISMUX_CALLER_CALLER_PORTS_H_
#define IBISMUX_CALLER_CALLER_PORTS_H_

#include <functional>
#include <memory>
#include <string>

#include "ibismux/admission/permit.h"
#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/http/cancel_token.h"
#include "ibismux/query/query_answer.h"
#include "ibismux/query/query_request.h"
#include "ibismux/reservation/reservation_answer.h"
#include "ibismux/reservation/reservation_request.h"

namespace ibismux::caller {

/// What the interface of callers stands on. Each is thread safe and does what
/// the method of the engine behind it says.
struct CallerPorts {
  std::function<Result<admission::Permit>(const std::string& service,
                                          const std::string& caller,
                                          TimePoint now)>
      admit;
  std::function<Task<Result<query::QueryAnswer>>(
      query::QueryRequest,
      std::shared_ptr<http::CancelToken>)>
      query;
  std::function<Task<Result<reservation::ReservationAnswer>>(
      reservation::ReservationRequest)>
      reserve;
  std::function<Task<Result<reservation::ReservationAnswer>>(
      std::string service,
      std::string key,
      TimePoint deadline)>
      ask;
  std::function<std::string()> issue_ticket;
  /// Whether this daemon may take requests.
  std::function<bool()> ready;
};

}  // namespace ibismux::caller

#endif  // IBISMUX_CALLER_CALLER_PORTS_H_
