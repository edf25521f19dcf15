#ifndef IBISMUX_MEMBERSHIP_MEMBERSHIP_METRICS_H_
#define IBISMUX_MEMBERSHIP_MEMBERSHIP_METRICS_H_

#include <array>

namespace prometheus {
class Counter;
class Gauge;
class Registry;
}  // namespace prometheus

namespace ibismux::membership {

struct MembershipView;

/// Counts of membership. Thread safe.
class MembershipMetrics {
 public:
  /// Precondition: `registry` outlives this.
  explicit MembershipMetrics(prometheus::Registry& registry);

  void saw(const MembershipView& view);
  void probed(bool answered);

 private:
  static constexpr std::size_t kStates = 4;
  std::array<prometheus::Gauge*, kStates> members;
  prometheus::Counter* answered;
  prometheus::Counter* unanswered;
};

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_MEMBERSHIP_METRICS_H_
