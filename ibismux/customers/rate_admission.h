#ifndef IBISMUX_CUSTOMERS_RATE_ADMISSION_H_
#define IBISMUX_CUSTOMERS_RATE_ADMISSION_H_

#include <cstdint>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/customers/forward.h"

namespace ibismux::customers {

/// Decides whether a request of a customer is within the customer's limit.
///
/// Belongs to one event loop; not thread safe.
class RateAdmission {
 public:
  virtual ~RateAdmission() = default;

  /// Counts one request of `customer`, if its limit allows the request.
  /// Errors: kRateLimited, with the time at which the customer's next request
  /// fits; kNotReady if no owner of the limit can be reached.
  /// Precondition: the customer has a limit.
  /// @param configuration The version of the configuration that states it.
  [[nodiscard]] virtual Task<Result<void>> admit(Customer customer,
                                                 std::uint64_t configuration,
                                                 TimePoint deadline) = 0;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_RATE_ADMISSION_H_
