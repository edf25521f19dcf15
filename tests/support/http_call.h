#ifndef TESTS_SUPPORT_HTTP_CALL_H_
#define TESTS_SUPPORT_HTTP_CALL_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/http/message.h"

namespace ibismux::testing {

/// One HTTP request to 127.0.0.1 over a connection of its own; blocks until its
/// answer is here or `kTestLimit` has passed. Thread safe.
///
///     auto answer = http_call(port, "PUT", "/fake/faults", R"({"outage":1})");
[[nodiscard]] Result<http::Response> http_call(
    std::uint16_t port,
    std::string method,
    std::string target,
    std::string body = {},
    std::vector<std::pair<std::string, std::string>> fields = {});

/// Sends `bytes` as they are to 127.0.0.1, ends the sending side, and returns
/// all that comes back before the other side closes. Thread safe.
[[nodiscard]] std::string raw_call(std::uint16_t port, std::string_view bytes);

}  // namespace ibismux::testing

#endif  // TESTS_SUPPORT_HTTP_CALL_H_
