#ifndef IBISMUX_DISPATCH_LEAF_ESTIMATE_H_
#define IBISMUX_DISPATCH_LEAF_ESTIMATE_H_

#include <cstdint>
#include <set>
#include <utility>

#include "ibismux/base/time.h"
#include "ibismux/dispatch/forward.h"

namespace ibismux::dispatch {

/// How one leaf performs, from the calls of this daemon alone: how slow it is
/// against its peers, whether it is unresponsive now, and how often it fails.
///
/// A leaf that pauses answers nothing for a while, then everything. One call
/// without an answer for some times the usual says so long before its own
/// deadline, and it says so for all calls: who waits there is sent elsewhere,
/// and who comes next doesn't go there. Pauses are told from slowness, which
/// goes on while answers come: a call that was caught in a pause counts only
/// `kMostRatio` times the usual, so that one pause doesn't drive the leaf's
/// traffic away after its end.
///
/// Not thread safe. The times given never go back.
class LeafEstimate {
 public:
  /// Names one call that is under way.
  using Ticket = std::multiset<TimePoint>::iterator;

  /// @name Calls
  /// @{
  [[nodiscard]] Ticket sent(TimePoint now);
  /// @param usual What a call of this kind takes at the median leaf.
  void answered(Ticket ticket, Duration usual, TimePoint now);
  /// The leaf answered that it failed, or refused.
  void failed(Ticket ticket, TimePoint now);
  /// The call ended without an answer of any kind.
  void lost(Ticket ticket, TimePoint now);
  /// @}

  /// The leaf said this of its load in an answer that came just now.
  void note_load(const LeafLoad& load, TimePoint now) noexcept;

  /// What the daemons of the zone see together.
  struct PeerReport {
    double excess = 0;    ///< The ratio above 1.
    double failures = 0;  ///< Share of the calls.
    double samples = 0;   ///< Calls that it rests on.
    /// In which half of it is forgotten where no further report comes.
    Duration half_life{0};
  };
  void merge_report(const PeerReport& report, TimePoint now);

  /// What this daemon saw since the last call: calls, and the sums of their
  /// ratios above 1 and of their failures.
  struct Seen {
    double samples = 0;
    double excess = 0;
    double failures = 0;
  };
  [[nodiscard]] Seen take_seen() noexcept {
    return std::exchange(this->seen, {});
  }
  /// Peers report the leaf to be slow or failing.
  [[nodiscard]] bool has_peer_report(TimePoint now) const noexcept;

  /// Whether calls wait and no answer has come for `patience`.
  [[nodiscard]] bool is_unresponsive(Duration patience,
                                     TimePoint now) const noexcept;

  /// What a call takes here, as a multiple of the usual: by the calls so far or
  /// by the leaf's own word of its load, whichever is more. Falls back towards
  /// 1 with time, so that a leaf which recovered is tried again.
  [[nodiscard]] double ratio(TimePoint now) const noexcept;

  /// Share of the late calls that failed, 0 to 1; forgotten with time as well.
  [[nodiscard]] double failure_share(TimePoint now) const noexcept;

  [[nodiscard]] std::size_t under_way() const noexcept {
    return this->waiting.size();
  }

 private:
  // One call counts at most this many times the usual.
  static constexpr double kMostRatio = 5;
  // Weight of a new sample: four calls in a row move the estimate by half.
  static constexpr double kWeight = 0.16;
  // After this time without calls half of what is held against a leaf is
  // forgotten. Troubles of leafs last seconds.
  static constexpr double kHalfLifeSeconds = 2.5;

  // A report counts as at most this many calls of this daemon's own.
  static constexpr double kMostReportSamples = 12;
  // And in full for so long: it comes again twice a second while leafs are
  // called.
  static constexpr std::chrono::milliseconds kReportFreshFor{1500};
  // Less of it than this is as good as nothing.
  static constexpr double kLeastReportWeight = 0.1;

  // Half of what a leaf said of its load is forgotten in this time: queues and
  // the pace of a shared machine change many times a second.
  static constexpr double kLoadHalfLifeSeconds = 0.1;

  [[nodiscard]] double fading(TimePoint now) const noexcept;
  [[nodiscard]] double told_excess(TimePoint now) const noexcept;
  [[nodiscard]] double peer_report_fading(TimePoint now) const noexcept;
  /// This daemon's own figure and the reported one, each by its weight.
  [[nodiscard]] double blend(double own,
                             double reported,
                             TimePoint now) const noexcept;
  void end(Ticket ticket, double ratio, double failure, TimePoint now);

  std::multiset<TimePoint> waiting;  ///< When the calls under way were sent.
  TimePoint last_answer = TimePoint::min();
  double excess = 0;  ///< The ratio above 1, as of `updated`.
  double failures = 0;
  TimePoint updated = TimePoint::min();
  double own_samples = 0;  ///< Decayed as the figures are.

  double load_excess = 0;  ///< The ratio above 1 by the leaf's own word.
  TimePoint load_at = TimePoint::min();

  PeerReport peer_report;
  TimePoint peer_report_at = TimePoint::min();

  Seen seen;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LEAF_ESTIMATE_H_
