#ifndef IBISMUX_FAIRNESS_SHARE_H_
#define IBISMUX_FAIRNESS_SHARE_H_

#include <string>

namespace ibismux::fairness {

/// A customer's claim to what the customers of a priority compete for.
struct Share {
  /// Empty for requests without a customer, which share one claim.
  std::string customer;
  /// The customer's part of the capacity relative to others. Positive.
  double weight = 1;
  /// The customer's demand in the whole fleet over its limit, as its owners
  /// have last said. 1 and less: within its limit, or not known.
  double usage = 0;
};

}  // namespace ibismux::fairness

#endif  // IBISMUX_FAIRNESS_SHARE_H_
