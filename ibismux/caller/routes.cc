#include "ibismux/caller/routes.h"

#include <string_view>
#include <vector>

#include "ibismux/caller/field_reader.h"
#include "ibismux/http/message.h"

namespace ibismux::caller {

namespace {

// Parts of a pattern that stand for a name.
constexpr std::string_view kService = "{service}";
constexpr std::string_view kKey = "{key}";

constexpr std::size_t kMostNameBytes = 128;

struct Pattern {
  std::string_view method;
  std::vector<std::string_view> parts;
  Operation operation;
};

const std::vector<Pattern>& patterns() {
  static const std::vector<Pattern> table = {
      {"POST", {"v1", "services", kService, "query"}, Operation::kQuery},
      {"POST",
       {"v1", "services", kService, "reservations"},
       Operation::kReserve},
      {"GET",
       {"v1", "services", kService, "reservations", kKey},
       Operation::kAskKey},
      {"POST", {"v1", "tickets"}, Operation::kIssueTicket},
  };
  return table;
}

bool matches(const Pattern& pattern, const std::vector<std::string>& parts) {
  if (pattern.parts.size() != parts.size()) {
    return false;
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const std::string_view wanted = pattern.parts[i];
    if (wanted != kService && wanted != kKey && wanted != parts[i]) {
      return false;
    }
  }
  return true;
}

Result<Route> route_of(const Pattern& pattern, std::vector<std::string> parts) {
  Route route;
  route.operation = pattern.operation;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (pattern.parts[i] != kService && pattern.parts[i] != kKey) {
      continue;
    }
    // Unescaped names may hold anything, a line break too, which would forge
    // a line of the log.
    const bool is_key = pattern.parts[i] == kKey;
    const Result<void> checked =
        check_text(is_key ? "key" : "service", parts[i], kMostNameBytes);
    if (!checked) {
      return tl::unexpected(checked.error());
    }
    (is_key ? route.key : route.service) = std::move(parts[i]);
  }
  return route;
}

}  // namespace

Result<Route> find_route(const http::Request& request) {
  std::vector<std::string> parts = http::split_path(request.path());
  for (const Pattern& pattern : patterns()) {
    if (!matches(pattern, parts)) {
      continue;
    }
    if (pattern.method != request.method) {
      return fail(ErrorKind::kInvalidRequest,
                  "method: allowed is " + std::string(pattern.method));
    }
    return route_of(pattern, std::move(parts));
  }
  return fail(ErrorKind::kNotFound, "no such path");
}

}  // namespace ibismux::caller
