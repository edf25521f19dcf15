#include "ibismux/customers/rate_owner.h"

#include <utility>

#include "ibismux/customers/rate_parts.h"

namespace ibismux::customers {

namespace {

// Above this number of customers, those with full buckets are removed.
constexpr std::size_t kMaxBuckets = 20'000;

}  // namespace

RateOwner::Decision RateOwner::take(const std::string& customer,
                                    const RateLimit& limit,
                                    std::uint64_t configuration,
                                    TimePoint owned_since,
                                    TimePoint now) {
  Row& row = this->row(customer, limit, configuration, owned_since, now);
  if (row.bucket.take(now)) {
    return {.granted = true};
  }
  return {.granted = false, .retry_after = row.bucket.promise_next(now)};
}

RateOwner::Row& RateOwner::row(const std::string& customer,
                               const RateLimit& limit,
                               std::uint64_t configuration,
                               TimePoint owned_since,
                               TimePoint now) {
  const RateParts parts(limit, this->tolerance);
  const auto known = this->buckets.find(customer);
  if (known == this->buckets.end()) {
    if (this->buckets.size() >= kMaxBuckets) {
      this->remove_full(now);
    }
    TokenBucket bucket(parts.owner_bucket(), owned_since);
    return this->buckets.emplace(customer, Row{configuration, limit, bucket})
        .first->second;
  }
  Row& row = known->second;
  if (configuration > row.configuration) {
    row.configuration = configuration;
    if (row.limit != limit) {
      row.limit = limit;
      row.bucket.resize(parts.owner_bucket(), now);
    }
  }
  return row;
}

void RateOwner::retain(
    const std::function<bool(const std::string& customer)>& is_owner) {
  std::erase_if(this->buckets,
                [&](const auto& row) { return !is_owner(row.first); });
}

void RateOwner::remove_full(TimePoint now) {
  std::erase_if(this->buckets, [now](const auto& row) {
    return row.second.bucket.is_full(now);
  });
}

}  // namespace ibismux::customers
