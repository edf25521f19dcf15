#ifndef IBISMUX_CUSTOMERS_CUSTOMER_H_
#define IBISMUX_CUSTOMERS_CUSTOMER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "ibismux/customers/rate_limit.h"

namespace ibismux::customers {

/// One customer of the configuration.
struct Customer {
  std::string name;
  /// Replaces the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> priority;
  RateLimit limit;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_CUSTOMER_H_
