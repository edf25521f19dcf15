#ifndef IBISMUX_CUSTOMERS_RATE_GRANT_H_
#define IBISMUX_CUSTOMERS_RATE_GRANT_H_

namespace ibismux::customers {

/// A request that the limit of its customer allows.
struct RateGrant {
  /// Requests that the owner which granted this one was asked for within the
  /// last window, granted or not, over those that its part of the limit allows
  /// in one. At most 1 unless it has refused some. 0 if no owner has said.
  double usage = 0;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_RATE_GRANT_H_
