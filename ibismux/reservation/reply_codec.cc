#include "ibismux/reservation/reply_codec.h"

#include <algorithm>
#include <utility>

#include "ibismux/peer/thrift_codec.h"
#include "ibismux/reservation/gen/reservation_types.h"

namespace ibismux::reservation {

std::string encode_reply(const Result<ReservationAnswer>& answer) {
  gen::Reply wire;
  if (answer) {
    wire.state = static_cast<std::int8_t>(answer->state);
    wire.shard = answer->shard;
    wire.body = answer->body;
    wire.repeat = answer->repeat;
  } else {
    const Error& error = answer.error();
    wire.error = std::string(error_entry(error.kind).name);
    wire.message = error.message;
    wire.not_run = error.execution == Execution::kNotRun;
    wire.retry_after_ms = error.retry_after ? error.retry_after->count() : 0;
  }
  return peer::encode(wire);
}

Result<ReservationAnswer> decode_reply(const std::string& payload) {
  auto wire = peer::decode<gen::Reply>(payload);
  if (!wire) {
    return tl::unexpected<Error>(std::move(wire).error());
  }
  if (wire->error.empty()) {
    if (wire->state < 0 ||
        wire->state > static_cast<std::int8_t>(KeyState::kUnknown)) {
      return fail(ErrorKind::kProtocolError, "no such state of a reservation");
    }
    return ReservationAnswer{static_cast<KeyState>(wire->state),
                             std::move(wire->shard), std::move(wire->body),
                             wire->repeat};
  }
  const auto kind = error_kind_of(wire->error);
  Error error{kind.value_or(ErrorKind::kInternal), wire->message,
              wire->not_run ? Execution::kNotRun : Execution::kUnknown,
              std::nullopt};
  if (wire->retry_after_ms > 0) {
    error.retry_after = std::chrono::milliseconds(wire->retry_after_ms);
  }
  return tl::unexpected<Error>(std::move(error));
}

std::string encode_ticket_run(const ReservationRequest& request,
                              TimePoint deadline,
                              TimePoint now) {
  gen::TicketRun wire;
  wire.request_id = request.request_id;
  wire.service_name = request.service;
  wire.caller = request.caller;
  wire.item = request.item;
  wire.ticket = request.key;
  wire.body = *request.body;
  wire.remaining_ms = to_millis(remaining(deadline, now));
  return peer::encode(wire);
}

Result<ReservationRequest> decode_ticket_run(const std::string& payload,
                                             TimePoint now) {
  auto wire = peer::decode<gen::TicketRun>(payload);
  if (!wire) {
    return tl::unexpected<Error>(std::move(wire).error());
  }
  ReservationRequest request;
  request.request_id = std::move(wire->request_id);
  request.service = std::move(wire->service_name);
  request.caller = std::move(wire->caller);
  request.received = now;
  request.deadline = std::chrono::milliseconds(wire->remaining_ms);
  request.item = std::move(wire->item);
  request.key = std::move(wire->ticket);
  request.body = std::make_shared<const std::string>(std::move(wire->body));
  return request;
}

}  // namespace ibismux::reservation
