#include "ibismux/dispatch/leaf_estimate.h"

#include <algorithm>
#include <cmath>

namespace ibismux::dispatch {

namespace {

double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

LeafEstimate::Ticket LeafEstimate::sent(TimePoint now) {
  return this->waiting.insert(now);
}

void LeafEstimate::answered(Ticket ticket, Duration usual, TimePoint now) {
  const double took = seconds(now - *ticket);
  const double ratio = took / std::max(seconds(usual), 1e-6);
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

bool LeafEstimate::silent(Duration patience, TimePoint now) const noexcept {
  if (this->waiting.empty()) {
    return false;
  }
  const TimePoint since = std::max(*this->waiting.begin(), this->last_answer);
  return now - since > patience;
}

double LeafEstimate::ratio(TimePoint now) const noexcept {
  return 1 +
         this->blend(this->excess * this->fading(now), this->heard_excess, now);
}

double LeafEstimate::failure_share(TimePoint now) const noexcept {
  return this->blend(this->failures * this->fading(now), this->heard_failures,
                     now);
}

void LeafEstimate::hear(double excess,
                        double failures,
                        double samples,
                        TimePoint now) {
  this->heard_excess = std::min(excess, kMostRatio - 1);
  this->heard_failures = std::min(failures, 1.0);
  this->heard_samples = std::min(samples, kMostHeard);
  this->heard_until = now + kHeardFor;
}

double LeafEstimate::blend(double own,
                           double heard,
                           TimePoint now) const noexcept {
  if (!this->is_talked_of(now)) {
    return own;
  }
  const double weight = this->own_samples * this->fading(now);
  return (own * weight + heard * this->heard_samples) /
         (weight + this->heard_samples);
}

double LeafEstimate::fading(TimePoint now) const noexcept {
  if (this->updated == TimePoint::min()) {
    return 0;
  }
  return std::exp2(-seconds(now - this->updated) / kHalfLifeSeconds);
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
