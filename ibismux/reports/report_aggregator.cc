#include "ibismux/reports/report_aggregator.h"

#include <cmath>
#include <utility>

namespace ibismux::reports {

namespace {

// Rows that are based on fewer calls are dropped.
constexpr double kMinSamples = 0.2;
// Limits the weight of a single report, so that one daemon with a problem of
// its own in reaching a leaf can't outweigh the rest of the zone.
constexpr double kMaxSamplesPerReport = 8;
// Longer than any daemon considers a leaf slow without receiving a further
// report of it.
constexpr std::chrono::seconds kRowRetention{120};

}  // namespace

void ReportAggregator::Row::decay(TimePoint now) {
  const double half_lives =
      to_seconds(now - this->updated) / to_seconds(kHalfLife);
  const double kept = std::exp2(-half_lives);
  this->samples *= kept;
  this->excess_sum *= kept;
  this->failure_sum *= kept;
  this->updated = now;
}

void ReportAggregator::add(const LeafReport& report, TimePoint now) {
  auto [place, inserted] = this->rows.try_emplace(report.run);
  Row& row = place->second;
  if (inserted) {
    row.updated = now;
  }
  row.decay(now);
  row.last_report = now;
  const double weight = std::min(report.samples, kMaxSamplesPerReport);
  row.samples += weight;
  row.excess_sum += weight * report.excess;
  row.failure_sum += weight * report.failures;
}

std::vector<LeafReport> ReportAggregator::summary(TimePoint now) {
  std::vector<LeafReport> notable;
  for (auto& [run, row] : this->rows) {
    row.decay(now);
    if (row.samples < kMinSamples) {
      continue;
    }
    LeafReport report{run, row.samples, row.excess_sum / row.samples,
                      row.failure_sum / row.samples};
    const bool is_notable = report.is_notable();
    if (std::exchange(row.reported_notable, is_notable) || is_notable) {
      notable.push_back(std::move(report));
    }
  }
  // A leaf that daemons consider slow is seldom called. Its row is kept beyond
  // its last calls, because the first report that it has recovered must reach
  // all of these daemons.
  std::erase_if(this->rows, [now](const auto& entry) {
    const Row& row = entry.second;
    return row.samples < kMinSamples &&
           (!row.reported_notable || now - row.last_report > kRowRetention);
  });
  return notable;
}

}  // namespace ibismux::reports
