#ifndef IBISMUX_QUERY_DEADLINE_POLICY_H_
#define IBISMUX_QUERY_DEADLINE_POLICY_H_

#include <cstddef>
#include <optional>

#include "ibismux/base/time.h"

namespace ibismux::query {

/// Decides whether a query waits for more shards, answers or fails.
///
/// Without `answer_by` a query waits for full coverage up to the deadline. With
/// it, a partial answer is sent from that time on, as soon as it reaches the
/// minimum coverage.
///
/// Immutable; thread safe.
class DeadlinePolicy {
 public:
  enum class Decision : unsigned char {
    kWait,
    kAnswer,  ///< Send the answer now, whether full or partial.
    kFail,    ///< The minimum coverage can no longer be reached.
  };

  /// @param min_coverage Share of the shards that an answer needs, 0 to 1.
  DeadlinePolicy(TimePoint deadline,
                 std::optional<TimePoint> answer_by,
                 double min_coverage)
      : deadline_at(deadline),
        answer_by(answer_by),
        min_coverage(min_coverage) {}

  /// @param contributed Number of shards merged so far.
  /// @param open Number of shards that may still contribute.
  /// @param total Number of shards in the snapshot.
  [[nodiscard]] Decision decide(TimePoint now,
                                std::size_t contributed,
                                std::size_t open,
                                std::size_t total) const noexcept {
    if (open == 0 || now >= this->deadline_at) {
      return this->reaches_min_coverage(contributed, total) ? Decision::kAnswer
                                                            : Decision::kFail;
    }
    if (!this->reaches_min_coverage(contributed + open, total)) {
      return Decision::kFail;
    }
    const bool partial_allowed =
        this->answer_by.has_value() && now >= *this->answer_by;
    return partial_allowed && this->reaches_min_coverage(contributed, total)
               ? Decision::kAnswer
               : Decision::kWait;
  }

  /// When the result of `decide` may next change without a new answer.
  [[nodiscard]] TimePoint next_change(TimePoint now) const noexcept {
    return this->answer_by.has_value() && now < *this->answer_by
               ? *this->answer_by
               : this->deadline_at;
  }

  /// The time by which a restart has to end. `reachable` is the number of
  /// shards that can contribute without a restart: if they reach the minimum
  /// coverage, a restart must end by `answer_by`, so that it doesn't put a
  /// sufficient answer at risk.
  [[nodiscard]] TimePoint restart_limit(std::size_t reachable,
                                        std::size_t total) const noexcept {
    return this->answer_by.has_value() &&
                   this->reaches_min_coverage(reachable, total)
               ? *this->answer_by
               : this->deadline_at;
  }

  /// Whether `shards` of `total` shards reach the minimum coverage.
  [[nodiscard]] bool reaches_min_coverage(std::size_t shards,
                                          std::size_t total) const noexcept {
    return static_cast<double>(shards) + kRoundingTolerance >=
           this->min_coverage * static_cast<double>(total);
  }

  [[nodiscard]] TimePoint deadline() const noexcept {
    return this->deadline_at;
  }

 private:
  /// Tolerance for rounding errors, so that 3 of 5 shards meet 0.6.
  static constexpr double kRoundingTolerance = 1e-9;

  TimePoint deadline_at;
  std::optional<TimePoint> answer_by;
  double min_coverage;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_DEADLINE_POLICY_H_
