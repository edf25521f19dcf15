#ifndef IBISMUX_OPERATOR_OPERATOR_API_H_
#define IBISMUX_OPERATOR_OPERATOR_API_H_

#include <cstdint>
#include <memory>

#include "ibismux/http/server.h"
#include "ibismux/operator/operator_ports.h"

namespace ibismux::operators {

/// The interface of operators (docs/OPERATORS.md): objects and their status,
/// the audit trail, the daemon's own state, metrics and probes.
///
///     http::Server server(pool, limits, api.handler());
///
/// Thread safe.
class OperatorApi {
 public:
  explicit OperatorApi(OperatorPorts ports);
  ~OperatorApi();

  /// Serves every path; unknown ones get `not_found`. The handler keeps this
  /// object's state alive, but not what the ports refer to.
  [[nodiscard]] http::Server::Handler handler() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::operators

#endif  // IBISMUX_OPERATOR_OPERATOR_API_H_
