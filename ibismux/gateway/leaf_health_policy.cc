#include "ibismux/gateway/leaf_health_policy.h"

#include <algorithm>

namespace ibismux::gateway {

namespace {

using backend::LeafSignal;

/// An ejection lasts at most 2 to this power times the first.
constexpr std::size_t kMostDoublings = 5;

bool is_failure(LeafSignal signal) {
  return signal == LeafSignal::kLost || signal == LeafSignal::kSilent ||
         signal == LeafSignal::kForeign || signal == LeafSignal::kFailed;
}

}  // namespace

LeafHealthPolicy::LeafHealthPolicy(const GatewaySettings& settings,
                                   EjectionBudget& budget)
    : settings(settings), budget(budget) {}

LeafHealthPolicy::~LeafHealthPolicy() {
  this->readmit();
}

void LeafHealthPolicy::declare(bool leaving) {
  // An operator who takes "leaving" back knows better than an earlier answer.
  if (this->declared_leaving && !leaving) {
    this->says_leaving = false;
  }
  this->declared_leaving = leaving;
}

bool LeafHealthPolicy::on_reply(const backend::LeafReply& reply,
                                TimePoint now) {
  if (reply.leaving) {
    this->says_leaving = true;
    this->leaving_since = now;
  }
  this->warming = reply.signal == LeafSignal::kWarming;
  if (!is_failure(reply.signal)) {
    this->failures = 0;
    if (reply.signal == LeafSignal::kAnswered) {
      this->ejections = 0;
    }
    return false;
  }
  ++this->failures;
  if (this->ejected || this->failures < this->settings.failures_to_eject ||
      !this->budget.take()) {
    return false;
  }
  this->ejected = true;
  const std::size_t doublings = std::min(this->ejections++, kMostDoublings);
  this->ejected_until = now + this->settings.ejection * (1 << doublings);
  return true;
}

void LeafHealthPolicy::on_restart(bool ready, TimePoint now) {
  this->warming = false;
  if (ready && this->may_return(now)) {
    this->says_leaving = false;
  } else {
    this->leaving_since = now;
  }
}

bool LeafHealthPolicy::may_return(TimePoint now) const noexcept {
  return now - this->leaving_since >= this->settings.leaving_hold;
}

LeafState LeafHealthPolicy::state(TimePoint now) const noexcept {
  if (this->declared_leaving || this->says_leaving) {
    return LeafState::kLeaving;
  }
  if (this->ejected && now < this->ejected_until) {
    return LeafState::kEjected;
  }
  return this->warming ? LeafState::kWarming : LeafState::kReady;
}

void LeafHealthPolicy::tick(TimePoint now) {
  if (now >= this->ejected_until) {
    this->readmit();
  }
}

void LeafHealthPolicy::readmit() {
  if (this->ejected) {
    this->ejected = false;
    // One more failure ejects it again; an answer clears the count.
    this->failures = this->settings.failures_to_eject - 1;
    this->budget.give_back();
  }
}

}  // namespace ibismux::gateway
