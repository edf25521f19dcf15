#include "ibismux/admission/limit_counters_table.h"

#include "ibismux/base/text_hash.h"

namespace ibismux::admission {

namespace {

/// How many of the least recently used entries are checked to find an idle one.
constexpr int kMaxEvictionCandidates = 4;
/// Replaces every key that finds the table full. It can't collide with the key
/// of a request, because a header field can't contain a line break.
constexpr std::string_view kOverflowKey = "\n";

/// Includes the rate rules, so that policies of the same name that need
/// different counters get different keys.
std::string full_key(const release::LimitPolicy& policy, std::string_view key) {
  std::string full = policy.name;
  for (const release::RateRule& rule : policy.rates) {
    full += rule.limit <= kLargestExactLimit ? "\nexact " : "\ncounted ";
    full += std::to_string(rule.window.count());
  }
  full += '\n';
  full += key;
  return full;
}

}  // namespace

std::shared_ptr<LimitCounters> LimitCountersTable::get(
    const release::LimitPolicy& policy,
    std::string_view key,
    TimePoint now) {
  std::string full = full_key(policy, key);
  const std::size_t hash = text_hash(full);
  Stripe& stripe = this->stripes[hash % kStripes];
  std::unique_lock lock(stripe.mutex);
  const auto found = stripe.by_key.find(full);
  if (found != stripe.by_key.end()) {
    stripe.entries.splice(stripe.entries.begin(), stripe.entries,
                          found->second);
    return found->second->counters;
  }
  if (stripe.entries.size() >= this->max_per_stripe && key != kOverflowKey &&
      !evict_one(stripe, now)) {
    lock.unlock();
    return this->get(policy, kOverflowKey, now);
  }
  stripe.entries.push_front(
      {std::move(full), std::make_shared<LimitCounters>(policy)});
  stripe.by_key.emplace(stripe.entries.front().key, stripe.entries.begin());
  return stripe.entries.front().counters;
}

std::size_t LimitCountersTable::size() {
  std::size_t count = 0;
  for (Stripe& stripe : this->stripes) {
    const std::lock_guard lock(stripe.mutex);
    count += stripe.entries.size();
  }
  return count;
}

bool LimitCountersTable::evict_one(Stripe& stripe, TimePoint now) {
  auto entry = stripe.entries.end();
  for (int i = 0; i < kMaxEvictionCandidates && entry != stripe.entries.begin();
       ++i) {
    --entry;
    // Any other owner is a request in flight or a service's plan.
    if (entry->counters.use_count() == 1 && entry->counters->idle(now)) {
      stripe.by_key.erase(entry->key);
      stripe.entries.erase(entry);
      return true;
    }
  }
  return false;
}

}  // namespace ibismux::admission
