#ifndef IBISMUX_GATEWAY_EJECTION_BUDGET_H_
#define IBISMUX_GATEWAY_EJECTION_BUDGET_H_

#include <algorithm>
#include <atomic>
#include <cstddef>

namespace ibismux::gateway {

/// How many of this daemon's leafs may be ejected at once.
///
/// When a common cause makes all leafs look bad, ejecting them one after the
/// other would put the whole load on the last. Thread safe.
class EjectionBudget {
 public:
  /// @param share The part of the leafs that may be ejected, 0 to 1.
  explicit EjectionBudget(double share) : share(share) {}

  void set_leafs(std::size_t count) noexcept { this->leafs = count; }

  /// Takes one ejection where one is left. @return Whether it was.
  [[nodiscard]] bool take() noexcept {
    const auto most = static_cast<std::size_t>(
        this->share * static_cast<double>(this->leafs.load()));
    std::size_t now = this->ejected.load();
    while (now < std::max<std::size_t>(most, 1)) {
      if (this->ejected.compare_exchange_weak(now, now + 1)) {
        return true;
      }
    }
    return false;
  }

  /// Gives back what `take` took.
  void give_back() noexcept { --this->ejected; }

 private:
  double share;
  std::atomic<std::size_t> leafs{0};
  std::atomic<std::size_t> ejected{0};
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_EJECTION_BUDGET_H_
