#ifndef IBISMUX_HTTP_PATH_PATTERN_H_
#define IBISMUX_HTTP_PATH_PATTERN_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibismux::http {

/// Matches a path against a pattern like "/v1/objects/{kind}/{name}", in which
/// a part in braces stands for any one part. Thread safe.
/// @param parts Of the path, by `split_path`.
/// @return What stands in the places of the braces, in order, or nothing where
/// the path is another one.
[[nodiscard]] std::optional<std::vector<std::string>> match_path(
    std::string_view pattern,
    const std::vector<std::string>& parts);

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_PATH_PATTERN_H_
