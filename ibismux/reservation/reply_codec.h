#ifndef IBISMUX_RESERVATION_REPLY_CODEC_H_
#define IBISMUX_RESERVATION_REPLY_CODEC_H_

#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/reservation/reservation_answer.h"
#include "ibismux/reservation/reservation_request.h"

namespace ibismux::reservation {

/// @name The answer of a reservation, error or not, between daemons. An error
/// travels inside, so that what it says of the execution arrives unchanged.
/// Thread safe.
/// @{
[[nodiscard]] std::string encode_reply(const Result<ReservationAnswer>& answer);
/// kProtocolError where `payload` is no reply.
[[nodiscard]] Result<ReservationAnswer> decode_reply(
    const std::string& payload);
/// @}

/// @name A reservation on its way to the issuer of its ticket. The time that
/// remains until `deadline` travels with it. Thread safe.
/// @{
[[nodiscard]] std::string encode_ticket_run(const ReservationRequest& request,
                                            TimePoint deadline,
                                            TimePoint now);
[[nodiscard]] Result<ReservationRequest> decode_ticket_run(
    const std::string& payload,
    TimePoint now);
/// @}

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_REPLY_CODEC_H_
