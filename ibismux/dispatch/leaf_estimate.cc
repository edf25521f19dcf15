#include "ibismux/dispatch/leaf_estimate.h"

#include <algorithm>
#include <cmath>

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

bool LeafEstimate::silent(Duration patience, TimePoint now) const noexcept {
  if (this->waiting.empty()) {
    return false;
  }
  const TimePoint since = std::max(*this->waiting.begin(), this->last_answer);
  return now - since > patience;
}

double LeafEstimate::ratio(TimePoint now) const noexcept {
  return 1 +
         this->blend(this->excess * this->fading(now), this->heard.excess, now);
}

double LeafEstimate::failure_share(TimePoint now) const noexcept {
  return this->blend(this->failures * this->fading(now), this->heard.failures,
                     now);
}

void LeafEstimate::hear(const Hearsay& news, TimePoint now) {
  this->heard = news;
  this->heard.excess = std::min(news.excess, kMostRatio - 1);
  this->heard.failures = std::min(news.failures, 1.0);
  this->heard.samples = std::min(news.samples, kMostHeard);
  this->heard_at = now;
}

bool LeafEstimate::is_talked_of(TimePoint now) const noexcept {
  const double kept = this->heard_fading(now);
  return this->heard.excess * kept >= kLeastHeard ||
         this->heard.failures * kept >= kLeastHeard;
}

double LeafEstimate::heard_fading(TimePoint now) const noexcept {
  if (this->heard_at == TimePoint::min()) {
    return 0;
  }
  const double age = to_seconds(now - this->heard_at - kHeardFor);
  return std::exp2(-std::max(0.0, age) /
                   std::max(to_seconds(this->heard.half_life), 1e-3));
}

double LeafEstimate::blend(double own,
                           double heard,
                           TimePoint now) const noexcept {
  const double kept = this->heard_fading(now);
  if (kept < kLeastHeard) {
    return own;
  }
  const double weight = this->own_samples * this->fading(now);
  return (own * weight + heard * kept * this->heard.samples) /
         (weight + this->heard.samples);
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
