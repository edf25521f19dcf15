#ifndef IBISMUX_HTTP_FRAMING_RULES_H_
#define IBISMUX_HTTP_FRAMING_RULES_H_

#include <optional>
#include <string_view>

#include "ibismux/http/message.h"

namespace ibismux::http {

/// Why a message is refused that a lenient reader would take.
struct FramingFault {
  int status = 400;
  const char* reason = "";
};

/// @name What two hosts on one path could read as two different requests
///
/// A lenient reader and a strict one disagree about where such a message ends
/// or whom it is for. Whoever writes it on purpose has a request run that the
/// first host never saw (request smuggling); none of it may reach a leaf. All
/// are thread safe; sections are those of RFC 9112.
/// @{

/// A Transfer-Encoding field (6.1): only `chunked` alone is known, and only
/// HTTP/1.1 knows it.
[[nodiscard]] std::optional<FramingFault> check_transfer_coding(
    std::string_view value,
    bool is_http_1_1) noexcept;

/// The value of a Host field (3.2): a host with or without a port, or nothing.
[[nodiscard]] std::optional<FramingFault> check_host(
    std::string_view value) noexcept;

/// The whole head of a request: at most one Host field, and a target that is a
/// path, a whole URI or, for OPTIONS, an asterisk (3.2). A whole URI is
/// replaced by its path, and Host by the host that it names.
[[nodiscard]] std::optional<FramingFault> normalize_target(Request& request);
/// @}

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_FRAMING_RULES_H_
