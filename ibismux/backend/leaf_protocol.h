#ifndef IBISMUX_BACKEND_LEAF_PROTOCOL_H_
#define IBISMUX_BACKEND_LEAF_PROTOCOL_H_

#include <memory>

#include "ibismux/backend/leaf_reply.h"
#include "ibismux/backend/leaf_request.h"
#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/http/message.h"

namespace ibismux::backend {

/// The HTTP form of `request` (docs/LEAFS.md), with what remains at `now`.
/// Thread safe.
[[nodiscard]] std::shared_ptr<const http::Request> encode_call(
    const LeafRequest& request,
    TimePoint now);

/// The cancel call for `id`. Thread safe.
[[nodiscard]] std::shared_ptr<const http::Request> encode_cancel(
    const CallId& id);

/// What `response`, or the lack of one, means for `request`. Thread safe.
///
/// An answer that does not echo the call is never used. A reservation whose
/// request may have left, and which no `X-Execution: not-run` settles, is
/// kOutcomeUnknown whatever else is known.
[[nodiscard]] LeafReply interpret(const LeafRequest& request,
                                  const Result<http::Response>& response);

}  // namespace ibismux::backend

#endif  // IBISMUX_BACKEND_LEAF_PROTOCOL_H_
