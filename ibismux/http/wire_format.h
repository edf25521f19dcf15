#ifndef IBISMUX_HTTP_WIRE_FORMAT_H_
#define IBISMUX_HTTP_WIRE_FORMAT_H_

#include <optional>
#include <string>
#include <string_view>

#include "ibismux/base/error.h"
#include "ibismux/http/message.h"

namespace ibismux::http {

/// Appends the head of `request`. Thread safe.
/// @param host_line The whole `Host` line with its line break; left out where
/// the request has a `Host` field of its own.
/// @param extra Goes behind the fields of the request.
void append_head(std::string& out,
                 const Request& request,
                 std::string_view host_line,
                 const ExtraFields& extra = {});

/// Appends the head of `response`; `Content-Length` and `Connection` fields of
/// its own are replaced. Thread safe.
void append_head(std::string& out, const Response& response, bool keep_alive);

/// Whether a response with `status` may have a body. Thread safe.
[[nodiscard]] bool may_have_body(int status) noexcept;

/// The answer of the server itself to a request that no handler answered: a
/// JSON object with the stable name of `kind`. Thread safe.
/// @param execution Instead of what `kind` says.
[[nodiscard]] Response refusal(
    int status,
    ErrorKind kind,
    std::string_view message,
    std::optional<Execution> execution = std::nullopt);

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_WIRE_FORMAT_H_
