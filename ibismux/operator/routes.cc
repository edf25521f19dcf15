#include "ibismux/operator/routes.h"

#include <array>
#include <optional>
#include <string_view>
#include <vector>

#include "ibismux/http/message.h"

namespace ibismux::operators {
namespace {

// Parts of a pattern that stand for a name.
constexpr std::string_view kKind = "{kind}";
constexpr std::string_view kName = "{name}";

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

/// The route of `parts` by `pattern`, whose method isn't looked at.
std::optional<Route> match(const Pattern& pattern,
                           const std::vector<std::string>& parts) {
  const std::vector<std::string> wanted = http::split_path(pattern.path);
  if (wanted.size() != parts.size()) {
    return std::nullopt;
  }
  Route route{pattern.operation, "", ""};
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (wanted[i] == kKind) {
      route.kind = parts[i];
    } else if (wanted[i] == kName) {
      route.name = parts[i];
    } else if (wanted[i] != parts[i]) {
      return std::nullopt;
    }
  }
  return route;
}

}  // namespace

Result<Route> find_route(const http::Request& request) {
  const std::vector<std::string> parts = http::split_path(request.path());
  std::string allowed;
  for (const Pattern& pattern : kPatterns) {
    std::optional<Route> route = match(pattern, parts);
    if (!route) {
      continue;
    }
    if (pattern.method == request.method) {
      return *std::move(route);
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
