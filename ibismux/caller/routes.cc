#include "ibismux/caller/routes.h"

#include <array>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "ibismux/caller/field_reader.h"
#include "ibismux/http/message.h"
#include "ibismux/http/path_pattern.h"

namespace ibismux::caller {

namespace {

constexpr std::size_t kMostNameBytes = 128;

struct Pattern {
  std::string_view method;
  std::string_view path;
  Operation operation;
};

constexpr std::array<Pattern, kOperations> kPatterns = {{
    {"POST", "/v1/services/{service}/query", Operation::kQuery},
    {"POST", "/v1/services/{service}/reservations", Operation::kReserve},
    {"GET", "/v1/services/{service}/reservations/{key}", Operation::kAskKey},
    {"POST", "/v1/tickets", Operation::kIssueTicket},
}};

/// @param names The service and the key, as far as the path has them.
Result<Route> route_of(Operation operation, std::vector<std::string> names) {
  Route route;
  route.operation = operation;
  for (std::size_t i = 0; i < names.size(); ++i) {
    // Unescaped names may hold anything, a line break too, which would forge
    // a line of the log.
    const bool is_key = i == 1;
    const Result<void> checked =
        check_text(is_key ? "key" : "service", names[i], kMostNameBytes);
    if (!checked) {
      return tl::unexpected(checked.error());
    }
    (is_key ? route.key : route.service) = std::move(names[i]);
  }
  return route;
}

}  // namespace

Result<Route> find_route(const http::Request& request) {
  const std::vector<std::string> parts = http::split_path(request.path());
  for (const Pattern& pattern : kPatterns) {
    auto names = http::match_path(pattern.path, parts);
    if (!names) {
      continue;
    }
    if (pattern.method != request.method) {
      return fail(ErrorKind::kInvalidRequest,
                  "method: allowed is " + std::string(pattern.method));
    }
    return route_of(pattern.operation, *std::move(names));
  }
  return fail(ErrorKind::kNotFound, "no such path");
}

}  // namespace ibismux::caller
