#ifndef IBISMUX_RESERVATION_RESERVATION_METRICS_H_
#define IBISMUX_RESERVATION_RESERVATION_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>

namespace ibismux::reservation {

/// How a reservation is told apart from others.
enum class ReservationKind : unsigned char { kUnkeyed, kKeyed, kTicket };

/// How a reservation was answered.
enum class ReservationOutcome : unsigned char {
  kRun,
  kRepeat,
  kNotRun,
  kUnknown
};

/// What one platform call of a bucket came to.
enum class CommitOutcome : unsigned char { kWritten, kConflict, kFailed };

/// The counters of this package. Thread safe.
class ReservationMetrics {
 public:
  explicit ReservationMetrics(prometheus::Registry& registry);

  void count(ReservationKind kind, ReservationOutcome outcome);
  void count(CommitOutcome outcome);
  void count_operations(std::size_t operations);
  void set_live_claims(std::size_t claims);

 private:
  static constexpr std::size_t kKinds = 3;
  static constexpr std::size_t kOutcomes = 4;
  static constexpr std::size_t kCommits = 3;

  std::array<std::array<prometheus::Counter*, kOutcomes>, kKinds> answers{};
  std::array<prometheus::Counter*, kCommits> commits{};
  prometheus::Counter* operations;
  prometheus::Gauge* live_claims;
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_RESERVATION_METRICS_H_
