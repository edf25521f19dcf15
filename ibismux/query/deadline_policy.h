#ifndef IBISMUX_QUERY_DEADLINE_POLICY_H_
#define IBISMUX_QUERY_DEADLINE_POLICY_H_

#include <cstddef>
#include <optional>

#include "ibismux/base/time.h"

namespace ibismux::query {

/// How a query trades time against coverage.
///
/// Without `answer_by` it waits for full coverage up to the deadline. With it,
/// a partial answer goes out from then on, as soon as it covers enough.
///
/// Immutable; thread safe.
class DeadlinePolicy {
 public:
  enum class Verdict : unsigned char {
    kWait,
    kAnswer,  ///< Goes out now, whole or partial.
    kFail,    ///< Covers too little, and waiting can't change that.
  };

  /// @param min_coverage Share of the shards, 0 to 1.
  DeadlinePolicy(TimePoint deadline,
                 std::optional<TimePoint> answer_by,
                 double min_coverage)
      : deadline_at(deadline),
        answer_by(answer_by),
        min_coverage(min_coverage) {}

  /// @param contributed Shards merged.
  /// @param open Shards that may still contribute.
  /// @param total All shards of the snapshot.
  [[nodiscard]] Verdict judge(TimePoint now,
                              std::size_t contributed,
                              std::size_t open,
                              std::size_t total) const noexcept {
    if (open == 0 || now >= this->deadline_at) {
      return this->enough(contributed, total) ? Verdict::kAnswer
                                              : Verdict::kFail;
    }
    if (!this->enough(contributed + open, total)) {
      return Verdict::kFail;
    }
    const bool partial_goes =
        this->answer_by.has_value() && now >= *this->answer_by;
    return partial_goes && this->enough(contributed, total) ? Verdict::kAnswer
                                                            : Verdict::kWait;
  }

  /// When `judge` may change its verdict with no new answer.
  [[nodiscard]] TimePoint next_change(TimePoint now) const noexcept {
    return this->answer_by.has_value() && now < *this->answer_by
               ? *this->answer_by
               : this->deadline_at;
  }

  /// The latest that a restart may end, where `reachable` shards would
  /// contribute without one: an answer that covers enough isn't put at risk.
  [[nodiscard]] TimePoint restart_limit(std::size_t reachable,
                                        std::size_t total) const noexcept {
    return this->answer_by.has_value() && this->enough(reachable, total)
               ? *this->answer_by
               : this->deadline_at;
  }

  /// Whether so many shards make an answer.
  [[nodiscard]] bool enough(std::size_t shards,
                            std::size_t total) const noexcept {
    return static_cast<double>(shards) + kSlack >=
           this->min_coverage * static_cast<double>(total);
  }

  [[nodiscard]] TimePoint deadline() const noexcept {
    return this->deadline_at;
  }

 private:
  /// Takes in rounding, so that 3 of 5 meets 0.6.
  static constexpr double kSlack = 1e-9;

  TimePoint deadline_at;
  std::optional<TimePoint> answer_by;
  double min_coverage;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_DEADLINE_POLICY_H_
