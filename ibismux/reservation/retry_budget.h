#ifndef IBISMUX_RESERVATION_RETRY_BUDGET_H_
#define IBISMUX_RESERVATION_RETRY_BUDGET_H_

#include <algorithm>
#include <mutex>

namespace ibismux::reservation {

/// Bounds retries to a share of the calls, so that they can't multiply the load
/// of leafs that refuse because they are overloaded.
///
/// Thread safe.
class RetryBudget {
 public:
  /// @param share Retries that one call earns, 0 to 1.
  /// @param most How many retries may be saved up.
  RetryBudget(double share, double most) noexcept
      : share(share), most(most), saved(most) {}

  /// A first attempt was made.
  void earn() {
    std::lock_guard lock(this->mutex);
    this->saved = std::min(this->most, this->saved + this->share);
  }

  /// @return Whether a retry may be made; it is then paid for.
  [[nodiscard]] bool spend() {
    std::lock_guard lock(this->mutex);
    if (this->saved < 1.0) {
      return false;
    }
    this->saved -= 1.0;
    return true;
  }

 private:
  const double share;
  const double most;
  std::mutex mutex;
  double saved;
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_RETRY_BUDGET_H_
