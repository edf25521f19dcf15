#ifndef IBISMUX_OPERATOR_ROUTES_H_
#define IBISMUX_OPERATOR_ROUTES_H_

#include <cstddef>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/http/forward.h"

namespace ibismux::operators {

/// What an operator asks for.
enum class Operation : unsigned char {
  kListAll,
  kListKind,
  kGet,
  kPut,
  kDelete,
  kObjectStatus,
  kValidate,
  kWatch,
  kStatus,
  kAudit,
  kDrain,
  kMetrics,
  kHealth,
  kReady,
};

inline constexpr std::size_t kOperations = 14;

/// An operation and the names in its path, unescaped.
struct Route {
  Operation operation = Operation::kHealth;
  std::string kind;
  std::string name;
};

/// The route of `request`. Thread safe.
/// Errors: kNotFound for an unknown path; kInvalidRequest where its method is
/// wrong, naming those allowed.
[[nodiscard]] Result<Route> find_route(const http::Request& request);

}  // namespace ibismux::operators

#endif  // IBISMUX_OPERATOR_ROUTES_H_
