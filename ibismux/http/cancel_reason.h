#ifndef IBISMUX_HTTP_CANCEL_REASON_H_
#define IBISMUX_HTTP_CANCEL_REASON_H_

namespace ibismux::http {

/// Why a request's handler should end.
enum class CancelReason : unsigned char {
  kClientGone,  ///< Nobody waits for the answer.
  kStopping,    ///< The server is about to stop; the client waits.
};

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_CANCEL_REASON_H_
