#include "ibismux/operator/routes.h"

#include <array>
#include <string_view>
#include <utility>
#include <vector>

#include "ibismux/http/message.h"
#include "ibismux/http/path_pattern.h"

namespace ibismux::operators {
namespace {

struct Pattern {
  std::string_view method;
  std::string_view path;
  Operation operation;
};

constexpr std::array<Pattern, kOperations> kPatterns = {{
    {"GET", "/v1/objects", Operation::kListAll},
    {"GET", "/v1/objects/{kind}", Operation::kListKind},
    {"GET", "/v1/objects/{kind}/{name}", Operation::kGet},
    {"PUT", "/v1/objects/{kind}/{name}", Operation::kPut},
    {"DELETE", "/v1/objects/{kind}/{name}", Operation::kDelete},
    {"GET", "/v1/objects/{kind}/{name}/status", Operation::kObjectStatus},
    {"POST", "/v1/validate", Operation::kValidate},
    {"GET", "/v1/watch", Operation::kWatch},
    {"GET", "/v1/status", Operation::kStatus},
    {"GET", "/v1/audit", Operation::kAudit},
    {"POST", "/v1/drain", Operation::kDrain},
    {"GET", "/metrics", Operation::kMetrics},
    {"GET", "/healthz", Operation::kHealth},
    {"GET", "/readyz", Operation::kReady},
}};

/// @param names The kind and the object's name, as far as the path has them.
Route route_of(Operation operation, std::vector<std::string> names) {
  names.resize(2);
  return {operation, std::move(names[0]), std::move(names[1])};
}

}  // namespace

Result<Route> find_route(const http::Request& request) {
  const std::vector<std::string> parts = http::split_path(request.path());
  std::string allowed;
  for (const Pattern& pattern : kPatterns) {
    auto names = http::match_path(pattern.path, parts);
    if (!names) {
      continue;
    }
    if (pattern.method == request.method) {
      return route_of(pattern.operation, *std::move(names));
    }
    allowed += (allowed.empty() ? "" : ", ") + std::string(pattern.method);
  }
  if (!allowed.empty()) {
    return fail(ErrorKind::kInvalidRequest,
                "the methods of this path are " + allowed);
  }
  return fail(ErrorKind::kNotFound, "no such path");
}

}  // namespace ibismux::operators
