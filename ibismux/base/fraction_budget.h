#ifndef IBISMUX_BASE_FRACTION_BUDGET_H_
#define IBISMUX_BASE_FRACTION_BUDGET_H_

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace ibismux {

/// Extra calls as a share of ordinary ones: each ordinary call pays in a
/// fraction of a token, each extra call takes a whole one.
///
/// Thread safe.
class FractionBudget {
 public:
  /// @param burst The most tokens kept for later.
  /// @param initial Tokens to start with.
  explicit FractionBudget(double burst, double initial = 0)
      : most(to_units(std::max(1.0, burst))), units(to_units(initial)) {}

  /// Pays in for `calls` ordinary calls. @param share Of a token, each.
  void deposit(std::size_t calls, double share) noexcept {
    const std::int64_t more = to_units(static_cast<double>(calls) * share);
    std::int64_t old = this->units.load(std::memory_order_relaxed);
    while (!this->units.compare_exchange_weak(
        old, std::min(this->most.load(std::memory_order_relaxed), old + more),
        std::memory_order_relaxed)) {
    }
  }

  /// Takes one token. @return False if there is none.
  [[nodiscard]] bool take() noexcept {
    std::int64_t old = this->units.load(std::memory_order_relaxed);
    while (old >= kUnitsPerToken) {
      if (this->units.compare_exchange_weak(old, old - kUnitsPerToken,
                                            std::memory_order_relaxed)) {
        return true;
      }
    }
    return false;
  }

  /// Replaces the most that is kept for later.
  void set_burst(double burst) noexcept {
    this->most.store(to_units(std::max(1.0, burst)), std::memory_order_relaxed);
  }

  [[nodiscard]] double tokens() const noexcept {
    return static_cast<double>(this->units.load(std::memory_order_relaxed)) /
           static_cast<double>(kUnitsPerToken);
  }

 private:
  static constexpr std::int64_t kUnitsPerToken = 1'000'000;

  static std::int64_t to_units(double tokens) noexcept {
    return static_cast<std::int64_t>(tokens *
                                     static_cast<double>(kUnitsPerToken));
  }

  std::atomic<std::int64_t> most;
  std::atomic<std::int64_t> units;
};

}  // namespace ibismux

#endif  // IBISMUX_BASE_FRACTION_BUDGET_H_
