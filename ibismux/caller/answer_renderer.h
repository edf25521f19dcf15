#ifndef IBISMUX_CALLER_ANSWER_RENDERER_H_
#define IBISMUX_CALLER_ANSWER_RENDERER_H_

#include <string>
#include <string_view>

#include "ibismux/base/error.h"
#include "ibismux/http/message.h"
#include "ibismux/query/forward.h"
#include "ibismux/reservation/forward.h"

namespace ibismux::caller {

/// The answer to a query. Thread safe, as all functions here.
[[nodiscard]] http::Response render_query(std::string_view request_id,
                                          const query::QueryAnswer& answer);

/// The answer to a reservation: 200 where it ran, 202 where it is running.
[[nodiscard]] http::Response render_reservation(
    std::string_view request_id,
    const reservation::ReservationAnswer& answer);

/// What is known of a key.
[[nodiscard]] http::Response render_key(
    std::string_view request_id,
    std::string_view key,
    const reservation::ReservationAnswer& answer);

/// A fresh ticket.
[[nodiscard]] http::Response render_ticket(std::string_view request_id,
                                           std::string_view ticket);

/// A refusal: status and name by the table of error kinds; whether the work
/// ran, and when to come back, by the error itself.
[[nodiscard]] http::Response render_error(std::string_view request_id,
                                          const Error& error);

}  // namespace ibismux::caller

#endif  // IBISMUX_CALLER_ANSWER_RENDERER_H_
