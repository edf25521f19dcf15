#ifndef IBISMUX_CALLER_CALLER_API_H_
#define IBISMUX_CALLER_CALLER_API_H_

#include <prometheus/registry.h>

#include <cstdint>
#include <functional>
#include <memory>

#include "ibismux/admission/forward.h"
#include "ibismux/caller/forward.h"
#include "ibismux/http/server.h"
#include "ibismux/query/forward.h"
#include "ibismux/reservation/forward.h"

namespace ibismux::caller {

/// The interface of callers (docs/CALLERS.md): checks a request's form, asks
/// admission, runs the engine, renders the answer or the refusal.
///
///     http::Server server(pool, limits, api.handler());
///
/// Thread safe.
class CallerApi {
 public:
  /// All references outlive the object.
  /// @param ready Whether this daemon may take requests; thread safe.
  /// @param seed Random and fresh at each start; prefix of made-up request ids.
  CallerApi(query::QueryEngine& queries,
            admission::Admission& admission,
            reservation::ReservationEngine& reservations,
            std::function<bool()> ready,
            prometheus::Registry& metrics,
            std::uint64_t seed);

  /// The same over anything that behaves like the engines.
  CallerApi(CallerPorts ports,
            prometheus::Registry& metrics,
            std::uint64_t seed);
  ~CallerApi();

  /// Serves every path; unknown ones get `not_found`. The handler keeps what
  /// it needs of this object alive, but not the engines.
  [[nodiscard]] http::Server::Handler handler() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::caller

#endif  // IBISMUX_CALLER_CALLER_API_H_
