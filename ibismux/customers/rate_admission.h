#ifndef IBISMUX_CUSTOMERS_RATE_ADMISSION_H_
#define IBISMUX_CUSTOMERS_RATE_ADMISSION_H_

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/customers/forward.h"

namespace ibismux::customers {

/// Decides whether a request of a customer is within the customer's limit.
///
/// Belongs to one event loop; not thread safe.
class RateAdmission {
 public:
  virtual ~RateAdmission() = default;

  /// Counts one request against the limit of its customer, if the limit allows
  /// the request. May wait, but no longer than until `check.latest_start`.
  /// Errors: kRateLimited, with the time at which the customer's next request
  /// fits; kNotReady if no owner of the limit can be reached.
  /// Precondition: the customer has a limit.
  [[nodiscard]] virtual Task<Result<RateGrant>> admit(RateCheck check) = 0;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_RATE_ADMISSION_H_
