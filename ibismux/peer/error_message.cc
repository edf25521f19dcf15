#include "ibismux/peer/error_message.h"

#include "ibismux/peer/gen/peer_types.h"
#include "ibismux/peer/thrift_codec.h"

namespace ibismux::peer {

std::string encode_error(const Error& error) {
  wire::ErrorMessage message;
  message.__set_kind(static_cast<std::int32_t>(error.kind));
  message.__set_message(error.message);
  message.__set_not_run(error.execution == Execution::kNotRun);
  message.__set_retry_after_ms(error.retry_after ? error.retry_after->count()
                                                 : -1);
  return encode(message);
}

Error decode_error(const std::string& payload) {
  const Result<wire::ErrorMessage> message =
      decode<wire::ErrorMessage>(payload);
  if (!message || message->kind < 0 ||
      message->kind >= static_cast<std::int32_t>(kErrorKinds)) {
    Error error = make_error(ErrorKind::kProtocolError, "unreadable error");
    error.execution = Execution::kUnknown;
    return error;
  }
  Error error =
      make_error(static_cast<ErrorKind>(message->kind), message->message);
  error.execution = message->not_run ? Execution::kNotRun : Execution::kUnknown;
  if (message->retry_after_ms >= 0) {
    error.retry_after = std::chrono::milliseconds(message->retry_after_ms);
  }
  return error;
}

}  // namespace ibismux::peer
