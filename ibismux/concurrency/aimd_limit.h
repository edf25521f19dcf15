#ifndef IBISMUX_CONCURRENCY_AIMD_LIMIT_H_
#define IBISMUX_CONCURRENCY_AIMD_LIMIT_H_

#include "ibismux/base/moving_average.h"
#include "ibismux/concurrency/concurrency_limit.h"

namespace ibismux::concurrency {

/// Additive increase, multiplicative decrease (AIMD), between 1 and a ceiling.
///
/// Starts at the declared slots. A refusal because of overload lowers the limit
/// unless it was lowered less than the mean leaf time ago, so that one burst of
/// refusals lowers it once. It rises only while the calls in flight reach it.
class AimdLimit : public ConcurrencyLimit {
 public:
  /// @param slots The leaf's declared slots; at least 1.
  /// @param ceiling The highest limit, as a multiple of the slots; at least 1.
  AimdLimit(std::size_t slots, double ceiling);

  [[nodiscard]] double limit() const noexcept override { return this->current; }
  void on_answer(Duration leaf_time,
                 std::size_t in_flight,
                 TimePoint now) override;
  void on_overload(TimePoint now) override;
  void on_cold() override;
  void set_slots(std::size_t slots) override;

 private:
  static constexpr int kLeafTimeSamples = 16;

  [[nodiscard]] double max_limit() const noexcept {
    return this->slots * this->ceiling;
  }

  double slots;
  double ceiling;
  double current;
  MovingAverage mean_leaf_time{kLeafTimeSamples};
  TimePoint lowered_at{};  ///< When the limit was last lowered.
};

}  // namespace ibismux::concurrency

#endif  // IBISMUX_CONCURRENCY_AIMD_LIMIT_H_
