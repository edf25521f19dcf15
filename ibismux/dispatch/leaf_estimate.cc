#include "ibismux/dispatch/leaf_estimate.h"

#include <algorithm>
#include <cmath>

#include "ibismux/dispatch/leaf_load.h"

namespace ibismux::dispatch {

LeafEstimate::Ticket LeafEstimate::sent(TimePoint now) {
  return this->send_times.insert(now);
}

void LeafEstimate::answered(Ticket ticket,
                            Duration typical_latency,
                            TimePoint now) {
  const double took = to_seconds(now - *ticket);
  const double ratio = took / std::max(to_seconds(typical_latency), 1e-6);
  this->last_answer = now;
  this->end(ticket, std::clamp(ratio, 1.0, kMaxRatio), 0, now);
}

void LeafEstimate::failed(Ticket ticket, TimePoint now) {
  this->last_answer = now;
  this->end(ticket, this->ratio(now), 1, now);
}

void LeafEstimate::lost(Ticket ticket, TimePoint now) {
  this->end(ticket, kMaxRatio, 1, now);
}

bool LeafEstimate::is_unresponsive(Duration max_silence,
                                   TimePoint now) const noexcept {
  if (this->send_times.empty()) {
    return false;
  }
  const TimePoint since =
      std::max(*this->send_times.begin(), this->last_answer);
  return now - since > max_silence;
}

double LeafEstimate::ratio(TimePoint now) const noexcept {
  const double seen = this->blend(this->excess * this->decay(now),
                                  this->peer_report.excess, now);
  return 1 + std::max(seen, this->decayed_load_excess(now));
}

void LeafEstimate::note_load(const LeafLoad& load, TimePoint now) noexcept {
  const double queue = static_cast<double>(load.waiting) / load.slots;
  const double ratio = load.slowdown.value_or(1) * (1 + queue);
  this->load_excess = std::clamp(ratio, 1.0, kMaxRatio) - 1;
  this->load_at = now;
}

double LeafEstimate::decayed_load_excess(TimePoint now) const noexcept {
  if (this->load_at == TimePoint::min()) {
    return 0;
  }
  return this->load_excess *
         std::exp2(-to_seconds(now - this->load_at) / kLoadHalfLifeSeconds);
}

double LeafEstimate::failure_share(TimePoint now) const noexcept {
  return this->blend(this->failures * this->decay(now),
                     this->peer_report.failures, now);
}

void LeafEstimate::merge_report(const PeerReport& report, TimePoint now) {
  this->peer_report = report;
  this->peer_report.excess = std::min(report.excess, kMaxRatio - 1);
  this->peer_report.failures = std::min(report.failures, 1.0);
  this->peer_report.samples = std::min(report.samples, kMaxReportSamples);
  this->peer_report_at = now;
}

bool LeafEstimate::has_peer_report(TimePoint now) const noexcept {
  const double kept = this->peer_report_decay(now);
  return this->peer_report.excess * kept >= kMinReportWeight ||
         this->peer_report.failures * kept >= kMinReportWeight;
}

double LeafEstimate::peer_report_decay(TimePoint now) const noexcept {
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
  const double kept = this->peer_report_decay(now);
  if (kept < kMinReportWeight) {
    return own;
  }
  const double weight = this->own_samples * this->decay(now);
  return (own * weight + reported * kept * this->peer_report.samples) /
         (weight + this->peer_report.samples);
}

double LeafEstimate::decay(TimePoint now) const noexcept {
  if (this->updated == TimePoint::min()) {
    return 0;
  }
  return std::exp2(-to_seconds(now - this->updated) / kHalfLifeSeconds);
}

void LeafEstimate::end(Ticket ticket,
                       double ratio,
                       double failure,
                       TimePoint now) {
  this->send_times.erase(ticket);
  const double kept = this->decay(now) * (1 - kWeight);
  this->excess = this->excess * kept + (ratio - 1) * kWeight;
  this->failures = this->failures * kept + failure * kWeight;
  this->own_samples = this->own_samples * kept + 1;
  this->updated = now;
  this->observations.samples += 1;
  this->observations.excess += ratio - 1;
  this->observations.failures += failure;
}

}  // namespace ibismux::dispatch
