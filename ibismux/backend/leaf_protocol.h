#ifndef IBISMUX_BACKEND_LEAF_PROTOCOL_H_
#define IBISMUX_BACKEND_LEAF_PROTOCOL_H_

#include <memory>

#include "ibismux/backend/leaf_reply.h"
#include "ibismux/backend/leaf_request.h"
#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/http/message.h"

namespace ibismux::backend {

/// Encodes `request` as an HTTP request (docs/LEAFS.md), with the time that
/// remains at `now` until its deadline. Thread safe.
[[nodiscard]] std::shared_ptr<const http::Request> encode_call(
    const LeafRequest& request,
    TimePoint now);

/// Encodes the cancel call for `id`. Thread safe.
[[nodiscard]] std::shared_ptr<const http::Request> encode_cancel(
    const CallId& id);

/// Interprets `response`, or the error that replaces it, as the reply to
/// `request`. Thread safe.
///
/// An answer that doesn't echo the identifiers of the call is never used. A
/// failed reservation whose request may have been sent is kOutcomeUnknown,
/// whatever the failure, unless the leaf answered `X-Execution: not-run`.
[[nodiscard]] LeafReply interpret(const LeafRequest& request,
                                  const Result<http::Response>& response);

}  // namespace ibismux::backend

#endif  // IBISMUX_BACKEND_LEAF_PROTOCOL_H_
