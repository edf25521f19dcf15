#include <criterion/criterion.h>

#include <pcg_random.hpp>
#include <random>
#include <vector>

#include "ibismux/dispatch/leaf_estimate.h"
#include "ibismux/reports/report_aggregator.h"

// How long the daemons of a zone avoid a slow leaf, simulated without a
// network: the estimates of the daemons and the aggregator of their reports.

namespace ibismux::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTypical{30};
constexpr std::size_t kDaemons = 23;
// Interval between queries of the whole zone; each query calls one of the three
// leafs of the shard.
constexpr milliseconds kQueryInterval{31};
constexpr milliseconds kReportInterval{500};
// A daemon avoids a leaf from this multiple of the typical latency on.
constexpr double kAvoidanceRatio = 2;

/// The daemons of one zone that call a shard of three leafs, one of which may
/// be several times slower than the others.
class Zone {
 public:
  /// @param randomize_half_life Each daemon draws a random half-life for
  /// reports.
  explicit Zone(bool randomize_half_life)
      : estimates(kDaemons), randomize_half_life(randomize_half_life) {}

  /// @return How many queries within `span` call the slow leaf.
  int run(Duration span, int slowdown) {
    int leaf_calls = 0;
    const TimePoint end = this->now + span;
    while (this->now < end) {
      this->now += kQueryInterval;
      leaf_calls += this->query(slowdown) ? 1 : 0;
      if (this->now >= this->next_report) {
        this->next_report = this->now + kReportInterval;
        this->report();
      }
    }
    return leaf_calls;
  }

 private:
  bool query(int slowdown) {
    LeafEstimate& estimate = this->estimates[this->draw(kDaemons)];
    const bool avoided = estimate.ratio(this->now) >= kAvoidanceRatio;
    if (avoided || this->draw(3) != 0) {
      return false;
    }
    const auto ticket = estimate.sent(this->now - kTypical * slowdown);
    estimate.answered(ticket, kTypical, this->now);
    return true;
  }

  void report() {
    for (LeafEstimate& estimate : this->estimates) {
      const auto seen = estimate.take_observations();
      if (seen.samples > 0) {
        this->aggregator.add(
            {{"leaf"}, seen.samples, seen.excess / seen.samples, 0}, this->now);
      }
    }
    for (const reports::LeafReport& report :
         this->aggregator.summary(this->now)) {
      for (LeafEstimate& estimate : this->estimates) {
        estimate.merge_report({.excess = report.excess,
                               .failures = report.failures,
                               .samples = report.samples,
                               .half_life = this->half_life()},
                              this->now);
      }
    }
  }

  Duration half_life() {
    constexpr milliseconds kBaseHalfLife{1250};
    const int factor = this->randomize_half_life ? this->draw(kDaemons) : 0;
    return kBaseHalfLife * (1 + factor);
  }

  int draw(std::size_t below) {
    return std::uniform_int_distribution<int>(
        0, static_cast<int>(below) - 1)(this->random);
  }

  std::vector<LeafEstimate> estimates;
  reports::ReportAggregator aggregator;
  const bool randomize_half_life;
  TimePoint now = Clock::now();
  TimePoint next_report = this->now + kReportInterval;
  pcg32 random{42};
};

// Guards against all daemons of a zone forgetting a slow leaf at the same time.
Test(zone_reports, few_queries_call_a_leaf_that_stays_slow) {
  Zone zone(true);
  zone.run(seconds(2), 8);
  const int leaf_calls = zone.run(seconds(20), 8);
  Zone fixed_zone(false);
  fixed_zone.run(seconds(2), 8);
  const int leaf_calls_with_fixed_half_life = fixed_zone.run(seconds(20), 8);
  cr_assert(leaf_calls <= 20, "%d queries of 20 s", leaf_calls);
  cr_assert(leaf_calls * 2 < leaf_calls_with_fixed_half_life, "%d and %d",
            leaf_calls, leaf_calls_with_fixed_half_life);
}

Test(zone_reports, a_recovered_leaf_is_used_again_by_all_daemons) {
  Zone zone(true);
  zone.run(seconds(8), 8);
  zone.run(seconds(12), 1);
  const int leaf_calls = zone.run(seconds(5), 1);
  const auto even = static_cast<int>(seconds(5) / kQueryInterval / 3);
  cr_assert(leaf_calls > even * 8 / 10, "%d of %d", leaf_calls, even);
}

}  // namespace
}  // namespace ibismux::dispatch
