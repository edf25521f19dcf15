#ifndef IBISMUX_OPERATOR_REQUEST_FIELDS_H_
#define IBISMUX_OPERATOR_REQUEST_FIELDS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/http/message.h"
#include "ibismux/operator/object_writer.h"
#include "ibismux/operator/routes.h"
#include "ibismux/release/object_codec.h"

namespace ibismux::operators {

/// Reads the parts of a request, each with its check. All errors are
/// kInvalidRequest and name the part and what is allowed. Thread safe.

/// The object that the path names.
[[nodiscard]] Result<release::ObjectKey> read_key(const Route& route);

/// The object in the body, which may leave kind and name to the path.
[[nodiscard]] Result<release::ObjectRecord> read_object(
    const http::Request& request,
    const release::ObjectKey& key);

/// The objects of a body {"objects":[...]}.
[[nodiscard]] Result<std::vector<release::ObjectRecord>> read_objects(
    const http::Request& request);

/// If-Match and If-None-Match.
[[nodiscard]] Result<WriteCondition> read_condition(
    const http::Request& request);

/// A parameter that is a whole number; `fallback` where it is absent.
[[nodiscard]] Result<std::uint64_t> read_number(const http::Request& request,
                                                std::string_view name,
                                                std::uint64_t fallback,
                                                std::uint64_t most);

/// `wait_ms`; zero where it is absent.
[[nodiscard]] Result<std::chrono::milliseconds> read_wait(
    const http::Request& request);

/// A header field of printable ASCII; `fallback` where it is absent.
[[nodiscard]] Result<std::string> read_text(const http::Request& request,
                                            std::string_view name,
                                            std::string fallback);

}  // namespace ibismux::operators

#endif  // IBISMUX_OPERATOR_REQUEST_FIELDS_H_
