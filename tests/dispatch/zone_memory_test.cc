#include <criterion/criterion.h>

#include <pcg_random.hpp>
#include <random>
#include <vector>

#include "ibismux/dispatch/leaf_estimate.h"
#include "ibismux/reports/report_board.h"

// How long the daemons of a zone avoid a slow leaf, simulated without a
// network: the estimates of the daemons and the board that aggregates their
// reports.

namespace ibismux::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kUsual{30};
constexpr std::size_t kDaemons = 23;
// Interval between queries of the whole zone; each query calls one of the three
// leafs of the shard.
constexpr milliseconds kBetweenQueries{31};
constexpr milliseconds kRound{500};
// A daemon avoids a leaf from this multiple of the typical latency on.
constexpr double kAvoidedFrom = 2;

/// The daemons of one zone that call a shard of three leafs, one of which may
/// be several times slower than the others.
class Zone {
 public:
  /// @param share_forgetting Each daemon draws a random half-life for reports.
  explicit Zone(bool share_forgetting)
      : estimates(kDaemons), share_forgetting(share_forgetting) {}

  /// @return How many queries within `span` call the slow leaf.
  int run(Duration span, int times_slow) {
    int met = 0;
    const TimePoint end = this->now + span;
    while (this->now < end) {
      this->now += kBetweenQueries;
      met += this->query(times_slow) ? 1 : 0;
      if (this->now >= this->next_round) {
        this->next_round = this->now + kRound;
        this->report();
      }
    }
    return met;
  }

 private:
  bool query(int times_slow) {
    LeafEstimate& estimate = this->estimates[this->draw(kDaemons)];
    const bool avoided = estimate.ratio(this->now) >= kAvoidedFrom;
    if (avoided || this->draw(3) != 0) {
      return false;
    }
    const auto ticket = estimate.sent(this->now - kUsual * times_slow);
    estimate.answered(ticket, kUsual, this->now);
    return true;
  }

  void report() {
    for (LeafEstimate& estimate : this->estimates) {
      const auto seen = estimate.take_seen();
      if (seen.samples > 0) {
        this->board.take(
            {{"leaf"}, seen.samples, seen.excess / seen.samples, 0}, this->now);
      }
    }
    for (const reports::LeafReport& news : this->board.summary(this->now)) {
      for (LeafEstimate& estimate : this->estimates) {
        estimate.merge_report({.excess = news.excess,
                               .failures = news.failures,
                               .samples = news.samples,
                               .half_life = this->half_life()},
                              this->now);
      }
    }
  }

  Duration half_life() {
    constexpr milliseconds kAlone{1250};
    const int times = this->share_forgetting ? this->draw(kDaemons) : 0;
    return kAlone * (1 + times);
  }

  int draw(std::size_t below) {
    return std::uniform_int_distribution<int>(
        0, static_cast<int>(below) - 1)(this->random);
  }

  std::vector<LeafEstimate> estimates;
  reports::ReportBoard board;
  const bool share_forgetting;
  TimePoint now = Clock::now();
  TimePoint next_round = this->now + kRound;
  pcg32 random{42};
};

// Guards against all daemons of a zone forgetting a slow leaf at the same time.
Test(zone_memory, few_queries_call_a_leaf_that_stays_slow) {
  Zone zone(true);
  zone.run(seconds(2), 8);
  const int met = zone.run(seconds(20), 8);
  Zone forgetful(false);
  forgetful.run(seconds(2), 8);
  const int met_before = forgetful.run(seconds(20), 8);
  cr_assert(met <= 20, "%d queries of 20 s", met);
  cr_assert(met * 2 < met_before, "%d and %d", met, met_before);
}

Test(zone_memory, a_recovered_leaf_is_used_again_by_all_daemons) {
  Zone zone(true);
  zone.run(seconds(8), 8);
  zone.run(seconds(12), 1);
  const int met = zone.run(seconds(5), 1);
  const auto even = static_cast<int>(seconds(5) / kBetweenQueries / 3);
  cr_assert(met > even * 8 / 10, "%d of %d", met, even);
}

}  // namespace
}  // namespace ibismux::dispatch
