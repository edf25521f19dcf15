#ifndef IBISMUX_CALLER_ROUTES_H_
#define IBISMUX_CALLER_ROUTES_H_

#include <string>

#include "ibismux/base/error.h"
#include "ibismux/http/forward.h"

namespace ibismux::caller {

/// What a caller asks for.
enum class Operation : unsigned char {
  kQuery,
  kReserve,
  kAskKey,
  kIssueTicket,
};

inline constexpr std::size_t kOperations = 4;

/// An operation and the names in its path, unescaped.
struct Route {
  Operation operation = Operation::kQuery;
  std::string service;
  std::string key;
};

/// The route of `request`. Thread safe.
/// Errors: kNotFound for an unknown path; kInvalidRequest where the method or a
/// name in the path is wrong, naming what is allowed.
[[nodiscard]] Result<Route> find_route(const http::Request& request);

}  // namespace ibismux::caller

#endif  // IBISMUX_CALLER_ROUTES_H_
