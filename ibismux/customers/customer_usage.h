#ifndef IBISMUX_CUSTOMERS_CUSTOMER_USAGE_H_
#define IBISMUX_CUSTOMERS_CUSTOMER_USAGE_H_

#include <cstdint>
#include <string>

#include "ibismux/customers/rate_limit.h"

namespace ibismux::customers {

/// What an owner of a customer's limit was asked for since it was last read.
struct CustomerUsage {
  std::string customer;
  RateLimit limit;  ///< Of the whole fleet.
  std::uint64_t asked = 0;
  std::uint64_t granted = 0;
  std::uint64_t late = 0;  ///< Of `asked`; see `RateCheck::is_late`.
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_CUSTOMER_USAGE_H_
