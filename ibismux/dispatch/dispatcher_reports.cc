// Exchange of leaf reports with the other daemons of the zone.
#include <algorithm>
#include <random>

#include "ibismux/dispatch/dispatcher.h"

namespace ibismux::dispatch {

namespace {

using std::chrono::milliseconds;

// Half-life of the peers' reports of a leaf at a daemon that is alone in its
// zone. Otherwise it is multiplied by a random factor between 1 and the number
// of daemons of the zone: the first daemon whose reports have decayed calls the
// leaf, and the others receive its report before they would call the leaf too.
constexpr milliseconds kReportHalfLife{1250};

}  // namespace

std::vector<reports::LeafReport> Dispatcher::take_reports() {
  std::vector<reports::LeafReport> all;
  if (!this->settings.policy.zone_reports) {
    return all;
  }
  const TimePoint now = Clock::now();
  for (const auto& [id, leaf] : this->leafs) {
    const LeafEstimate::Observations seen =
        leaf->estimate().take_observations();
    if (seen.samples == 0) {
      continue;
    }
    reports::LeafReport report{leaf->entry().run, seen.samples,
                               seen.excess / seen.samples,
                               seen.failures / seen.samples};
    // A leaf that peers have reported as slow is also reported once it is fast
    // again.
    if (report.is_notable() || leaf->estimate().has_peer_report(now)) {
      all.push_back(std::move(report));
    }
  }
  return all;
}

void Dispatcher::on_report(const reports::LeafReport& report) {
  const auto known = this->leafs.find(report.run.id);
  // A report of an earlier run of the leaf says nothing about the current run.
  if (this->settings.policy.zone_reports && known != this->leafs.end() &&
      known->second->entry().run == report.run) {
    known->second->estimate().merge_report(
        {.excess = report.excess,
         .failures = report.failures,
         .samples = report.samples,
         .half_life = this->report_half_life()},
        Clock::now());
  }
}

Duration Dispatcher::report_half_life() {
  if (!this->settings.policy.staggered_memory) {
    return kReportHalfLife;
  }
  const auto zone = this->fleet.hosts_by_zone.find(this->fleet.zone);
  const double peers =
      zone == this->fleet.hosts_by_zone.end()
          ? 0
          : std::max(0.0, static_cast<double>(zone->second) - 1);
  const double drawn =
      std::uniform_real_distribution<double>(0, peers)(this->random);
  return scaled(kReportHalfLife, 1 + drawn);
}

}  // namespace ibismux::dispatch
