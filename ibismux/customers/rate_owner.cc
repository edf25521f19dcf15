#include "ibismux/customers/rate_owner.h"

#include <algorithm>
#include <utility>

#include "ibismux/customers/rate_parts.h"

namespace ibismux::customers {

namespace {

// Above this number of customers, those with full buckets are removed.
constexpr std::size_t kMaxBuckets = 20'000;
// For so long after a request that could be in time was refused, late ones
// leave the tokens to others.
constexpr std::chrono::seconds kContention{1};
// Up to this usage a customer counts as near its limit: requests that were
// refused and ask again count twice.
constexpr double kNearLimit = 1.5;

}  // namespace

RateOwner::Decision RateOwner::take(const std::string& customer,
                                    const RateLimit& limit,
                                    std::uint64_t configuration,
                                    bool is_late,
                                    TimePoint owned_since,
                                    TimePoint now) {
  Row& row = this->row(customer, limit, configuration, owned_since, now);
  row.demand.record(now);
  row.usage.asked += 1;
  row.usage.late += is_late ? 1 : 0;
  const bool is_contended = row.contended_until && now < *row.contended_until;
  if (is_late && is_contended) {
    return {.granted = false,
            .retry_after = *row.contended_until - now,
            .usage = this->usage_of(row, now)};
  }
  if (row.bucket.take(now)) {
    row.usage.granted += 1;
    return {.granted = true, .usage = this->usage_of(row, now)};
  }
  return this->refuse(row, is_late, now);
}

RateOwner::Decision RateOwner::refuse(Row& row,
                                      bool is_late,
                                      TimePoint now) const {
  if (!is_late) {
    row.contended_until = now + kContention;
  }
  const double usage = this->usage_of(row, now);
  if (!is_late) {
    row.returns.on_refusal(usage <= kNearLimit, now);
  }
  const Duration next_token = row.bucket.promise_next(now);
  return {.granted = false,
          .retry_after = this->paces_returns
                             ? row.returns.retry_after(next_token, now)
                             : next_token,
          .usage = usage};
}

double RateOwner::usage_of(const Row& row, TimePoint now) const {
  const double window = to_seconds(this->tolerance.window);
  const double allowed =
      (row.limit.per_second * window + row.limit.burst) / double{kOwners};
  const double usage = row.demand.count(now) / std::max(1.0, allowed);
  // An owner is asked for more than its part by the daemons of its own zone. As
  // long as it has refused none of them, the customer is within its limit.
  const bool has_refused = row.contended_until &&
                           now - *row.contended_until < this->tolerance.window;
  return has_refused ? usage : std::min(usage, 1.0);
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
    return this->buckets
        .emplace(customer, Row{configuration,
                               limit,
                               bucket,
                               DemandWindow(this->tolerance.window, now),
                               {},
                               std::nullopt,
                               {}})
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

std::vector<CustomerUsage> RateOwner::take_usage(std::size_t most) {
  std::vector<std::pair<const std::string*, Row*>> all;
  for (auto& [customer, row] : this->buckets) {
    if (row.usage.asked > 0) {
      all.emplace_back(&customer, &row);
    }
  }
  const auto end =
      all.begin() + static_cast<std::ptrdiff_t>(std::min(most, all.size()));
  std::partial_sort(
      all.begin(), end, all.end(), [](const auto& a, const auto& b) {
        const auto rank = [](const CustomerUsage& usage) {
          return std::pair(usage.asked - usage.granted, usage.asked);
        };
        return rank(a.second->usage) > rank(b.second->usage);
      });
  std::vector<CustomerUsage> taken;
  for (auto row = all.begin(); row != end; ++row) {
    CustomerUsage usage = std::exchange(row->second->usage, {});
    usage.customer = *row->first;
    usage.limit = row->second->limit;
    taken.push_back(std::move(usage));
  }
  return taken;
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
