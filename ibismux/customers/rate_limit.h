#ifndef IBISMUX_CUSTOMERS_RATE_LIMIT_H_
#define IBISMUX_CUSTOMERS_RATE_LIMIT_H_

#include <chrono>

namespace ibismux::customers {

/// How many requests a customer may send to all daemons together.
struct RateLimit {
  double per_second = 0;  ///< 0: unlimited.
  double burst = 0;       ///< Requests in addition, at once.

  [[nodiscard]] bool operator==(const RateLimit&) const = default;

  [[nodiscard]] bool is_limited() const noexcept {
    return this->per_second > 0;
  }
};

/// By how much the fleet may exceed a limit: in any `window`, it may run
/// (rate x window + burst) x (1 + `overage`) + `slack` requests.
struct RateTolerance {
  std::chrono::milliseconds window{5000};
  double overage = 0;
  double slack = 0;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_RATE_LIMIT_H_
