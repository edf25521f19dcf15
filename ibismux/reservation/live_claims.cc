#include "ibismux/reservation/live_claims.h"

namespace ibismux::reservation {

bool LiveClaims::add(const KeyRecord& claim) {
  std::lock_guard lock(this->mutex);
  if (this->claims.size() >= this->most) {
    return false;
  }
  this->claims[claim.claim] = claim;
  this->by_key[claim.key] = claim.claim;
  return true;
}

void LiveClaims::settle(const KeyRecord& outcome) {
  std::lock_guard lock(this->mutex);
  this->claims[outcome.claim] = outcome;
  this->by_key[outcome.key] = outcome.claim;
}

void LiveClaims::remove(const ClaimId& claim) {
  std::lock_guard lock(this->mutex);
  const auto found = this->claims.find(claim);
  if (found == this->claims.end()) {
    return;
  }
  const auto named = this->by_key.find(found->second.key);
  if (named != this->by_key.end() && named->second == claim) {
    this->by_key.erase(named);
  }
  this->claims.erase(found);
}

bool LiveClaims::contains(const ClaimId& claim) const {
  std::lock_guard lock(this->mutex);
  return this->claims.contains(claim);
}

std::optional<KeyRecord> LiveClaims::find(const KeyHash& key) const {
  std::lock_guard lock(this->mutex);
  const auto named = this->by_key.find(key);
  if (named == this->by_key.end()) {
    return std::nullopt;
  }
  return this->claims.at(named->second);
}

std::size_t LiveClaims::size() const {
  std::lock_guard lock(this->mutex);
  return this->claims.size();
}

}  // namespace ibismux::reservation
