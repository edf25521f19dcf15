#ifndef IBISMUX_CALLER_REQUEST_LOG_H_
#define IBISMUX_CALLER_REQUEST_LOG_H_

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/caller/request_parser.h"

namespace ibismux::caller {

/// One line about one finished request. Successes at verbosity 1; refusals at
/// most some tens a second, as they come in floods when the tier is overloaded.
/// Thread safe.
/// @param error Null where the request succeeded.
void log_request(const IncomingRequest& incoming,
                 const Error* error,
                 Duration took);

}  // namespace ibismux::caller

#endif  // IBISMUX_CALLER_REQUEST_LOG_H_
