#include "ibismux/dispatch/leaf_estimate.h"

#include <algorithm>
#include <cmath>

#include "ibismux/dispatch/leaf_load.h"

namespace ibismux::dispatch {

LeafEstimate::Ticket LeafEstimate::sent(TimePoint now) {
  return this->waiting.insert(now);
}

void LeafEstimate::answered(Ticket ticket, Duration usual, TimePoint now) {
  const double took = to_seconds(now - *ticket);
  const double ratio = took / std::max(to_seconds(usual), 1e-6);
  this->last_answer = now;
  this->end(ticket, std::clamp(ratio, 1.0, kMostRatio), 0, now);
}

void LeafEstimate::failed(Ticket ticket, TimePoint now) {
  this->last_answer = now;
  this->end(ticket, this->ratio(now), 1, now);
}

void LeafEstimate::lost(Ticket ticket, TimePoint now) {
  this->end(ticket, kMostRatio, 1, now);
}

bool LeafEstimate::is_unresponsive(Duration patience,
                                   TimePoint now) const noexcept {
  if (this->waiting.empty()) {
    return false;
  }
  const TimePoint since = std::max(*this->waiting.begin(), this->last_answer);
  return now - since > patience;
}

double LeafEstimate::ratio(TimePoint now) const noexcept {
  const double seen = this->blend(this->excess * this->fading(now),
                                  this->peer_report.excess, now);
  return 1 + std::max(seen, this->told_excess(now));
}

void LeafEstimate::note_load(const LeafLoad& load, TimePoint now) noexcept {
  const double queue = static_cast<double>(load.waiting) / load.slots;
  const double ratio = load.slowdown.value_or(1) * (1 + queue);
  this->load_excess = std::clamp(ratio, 1.0, kMostRatio) - 1;
  this->load_at = now;
}

double LeafEstimate::told_excess(TimePoint now) const noexcept {
  if (this->load_at == TimePoint::min()) {
    return 0;
  }
  return this->load_excess *
         std::exp2(-to_seconds(now - this->load_at) / kLoadHalfLifeSeconds);
}

double LeafEstimate::failure_share(TimePoint now) const noexcept {
  return this->blend(this->failures * this->fading(now),
                     this->peer_report.failures, now);
}

void LeafEstimate::merge_report(const PeerReport& report, TimePoint now) {
  this->peer_report = report;
  this->peer_report.excess = std::min(report.excess, kMostRatio - 1);
  this->peer_report.failures = std::min(report.failures, 1.0);
  this->peer_report.samples = std::min(report.samples, kMostReportSamples);
  this->peer_report_at = now;
}

bool LeafEstimate::has_peer_report(TimePoint now) const noexcept {
  const double kept = this->peer_report_fading(now);
  return this->peer_report.excess * kept >= kLeastReportWeight ||
         this->peer_report.failures * kept >= kLeastReportWeight;
}

double LeafEstimate::peer_report_fading(TimePoint now) const noexcept {
  if (this->peer_report_at == TimePoint::min()) {
    return 0;
  }
  const double age = to_seconds(now - this->peer_report_at - kReportFreshFor);
  return std::exp2(-std::max(0.0, age) /
                   std::max(to_seconds(this->peer_report.half_life), 1e-3));
}

double LeafEstimate::blend(double own,
                           double reported,
                           TimePoint now) const noexcept {
  const double kept = this->peer_report_fading(now);
  if (kept < kLeastReportWeight) {
    return own;
  }
  const double weight = this->own_samples * this->fading(now);
  return (own * weight + reported * kept * this->peer_report.samples) /
         (weight + this->peer_report.samples);
}

double LeafEstimate::fading(TimePoint now) const noexcept {
  if (this->updated == TimePoint::min()) {
    return 0;
  }
  return std::exp2(-to_seconds(now - this->updated) / kHalfLifeSeconds);
}

void LeafEstimate::end(Ticket ticket,
                       double ratio,
                       double failure,
                       TimePoint now) {
  this->waiting.erase(ticket);
  const double kept = this->fading(now) * (1 - kWeight);
  this->excess = this->excess * kept + (ratio - 1) * kWeight;
  this->failures = this->failures * kept + failure * kWeight;
  this->own_samples = this->own_samples * kept + 1;
  this->updated = now;
  this->seen.samples += 1;
  this->seen.excess += ratio - 1;
  this->seen.failures += failure;
}

}  // namespace ibismux::dispatch
