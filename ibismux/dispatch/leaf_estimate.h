#ifndef IBISMUX_DISPATCH_LEAF_ESTIMATE_H_
#define IBISMUX_DISPATCH_LEAF_ESTIMATE_H_

#include <cstdint>
#include <set>
#include <utility>

#include "ibismux/base/time.h"
#include "ibismux/dispatch/forward.h"

namespace ibismux::dispatch {

/// Performance estimate of one leaf: how slow it is relative to its peers,
/// whether it is unresponsive now, and how often it fails. It is based on the
/// calls of this daemon, the reports of its peers and the load that the leaf
/// reports.
///
/// A leaf that pauses answers nothing for a while and then everything. One call
/// without an answer for a few times the typical latency reveals the pause long
/// before the deadline of the call, and for all calls: waiting calls are sent
/// to other leafs, and new calls avoid this one. Unlike a paused leaf, a slow
/// leaf goes on answering. A call that was caught in a pause counts as at most
/// `kMaxRatio` times the typical latency, so that one pause doesn't divert the
/// leaf's traffic after it has ended.
///
/// Not thread safe. Time arguments must not decrease.
class LeafEstimate {
 public:
  /// Identifies one call in flight.
  using Ticket = std::multiset<TimePoint>::iterator;

  /// @name Calls
  /// @{
  [[nodiscard]] Ticket sent(TimePoint now);
  /// @param typical_latency Latency of a call of this kind at the median leaf.
  void answered(Ticket ticket, Duration typical_latency, TimePoint now);
  /// The leaf answered that the call failed or was rejected.
  void failed(Ticket ticket, TimePoint now);
  /// The call ended without any answer.
  void lost(Ticket ticket, TimePoint now);
  /// @}

  /// Records the load that the leaf reported in an answer that just arrived.
  void note_load(const LeafLoad& load, TimePoint now) noexcept;

  /// Aggregated observations of the daemons of the zone.
  struct PeerReport {
    double excess = 0;    ///< The ratio above 1.
    double failures = 0;  ///< Share of the calls.
    double samples = 0;   ///< Calls that it is based on.
    /// Time in which its weight halves if no further report arrives.
    Duration half_life{0};
  };
  void merge_report(const PeerReport& report, TimePoint now);

  /// Observations of this daemon since the last `take_observations()`: the
  /// number of calls, and the sums of their ratios above 1 and of their
  /// failures.
  struct Observations {
    double samples = 0;
    double excess = 0;
    double failures = 0;
  };
  [[nodiscard]] Observations take_observations() noexcept {
    return std::exchange(this->observations, {});
  }
  /// Whether peers report that the leaf is slow or failing.
  [[nodiscard]] bool has_peer_report(TimePoint now) const noexcept;

  /// Whether calls are in flight and no answer has arrived for `max_silence`.
  [[nodiscard]] bool is_unresponsive(Duration max_silence,
                                     TimePoint now) const noexcept;

  /// Expected latency of a call as a multiple of the typical latency: the
  /// higher of the estimate from observed calls and the estimate from the load
  /// that the leaf reports. Decays towards 1, so that a leaf that has recovered
  /// is tried again.
  [[nodiscard]] double ratio(TimePoint now) const noexcept;

  /// Share of recent calls that failed, 0 to 1; decays with time as well.
  [[nodiscard]] double failure_share(TimePoint now) const noexcept;

  [[nodiscard]] std::size_t in_flight() const noexcept {
    return this->send_times.size();
  }

 private:
  // Maximum ratio that one call counts for.
  static constexpr double kMaxRatio = 5;
  // Weight of a new sample: four calls in a row halve the distance to the new
  // value.
  static constexpr double kWeight = 0.16;
  // Half-life of the estimate while there are no calls. Problems of leafs last
  // seconds.
  static constexpr double kHalfLifeSeconds = 2.5;

  // A peer report weighs at most as much as this many calls of this daemon.
  static constexpr double kMaxReportSamples = 12;
  // A peer report keeps its full weight for this long; while leafs are called,
  // a new one arrives twice a second.
  static constexpr std::chrono::milliseconds kReportFreshFor{1500};
  // A peer report of less than this remaining weight is ignored.
  static constexpr double kMinReportWeight = 0.1;

  // Half-life of the load that a leaf reported: queue lengths and the speed of
  // a shared machine change many times a second.
  static constexpr double kLoadHalfLifeSeconds = 0.1;

  [[nodiscard]] double decay(TimePoint now) const noexcept;
  [[nodiscard]] double decayed_load_excess(TimePoint now) const noexcept;
  [[nodiscard]] double peer_report_decay(TimePoint now) const noexcept;
  /// The weighted mean of this daemon's own value and the reported one.
  [[nodiscard]] double blend(double own,
                             double reported,
                             TimePoint now) const noexcept;
  void end(Ticket ticket, double ratio, double failure, TimePoint now);

  std::multiset<TimePoint> send_times;  ///< Of the calls in flight.
  TimePoint last_answer = TimePoint::min();
  double excess = 0;  ///< The ratio above 1, as of `updated`.
  double failures = 0;
  TimePoint updated = TimePoint::min();
  double own_samples = 0;  ///< Decays as `excess` and `failures` do.

  double load_excess = 0;  ///< The ratio above 1 that the leaf's load implies.
  TimePoint load_at = TimePoint::min();

  PeerReport peer_report;
  TimePoint peer_report_at = TimePoint::min();

  Observations observations;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LEAF_ESTIMATE_H_
