#ifndef IBISMUX_CUSTOMERS_RATE_CHECK_H_
#define IBISMUX_CUSTOMERS_RATE_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "ibismux/base/time.h"
#include "ibismux/customers/customer.h"

namespace ibismux::customers {

/// One request of a customer, to be counted against the customer's limit.
struct RateCheck {
  Customer customer;
  std::uint64_t configuration = 0;  ///< The version that states the limit.
  /// The latest time at which the request can be sent to leafs and still be
  /// answered within its objective.
  TimePoint latest_start;
  /// When the caller stops waiting.
  TimePoint deadline;
  /// The caller has already waited for longer than the objective, as far as its
  /// deadline shows: the answer is late whenever the request is granted.
  bool is_late = false;
  std::size_t bytes = 0;  ///< Held while the request waits.
  std::string request;    ///< Its id, for the log.
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_RATE_CHECK_H_
