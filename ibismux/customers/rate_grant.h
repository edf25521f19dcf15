#ifndef IBISMUX_CUSTOMERS_RATE_GRANT_H_
#define IBISMUX_CUSTOMERS_RATE_GRANT_H_

namespace ibismux::customers {

/// A request that the limit of its customer allows.
struct RateGrant {
  /// Requests that an owner of the limit was asked for within the last window,
  /// granted or not, over those that the limit allows in a window. 0 if no
  /// owner has said.
  double usage = 0;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_RATE_GRANT_H_
