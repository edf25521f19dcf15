#ifndef IBISMUX_CUSTOMERS_RATE_PARTS_H_
#define IBISMUX_CUSTOMERS_RATE_PARTS_H_

#include <algorithm>
#include <cstddef>

#include "ibismux/base/time.h"
#include "ibismux/customers/rate_limit.h"
#include "ibismux/customers/token_bucket.h"

namespace ibismux::customers {

/// A limit is owned in equal parts by this many daemons.
inline constexpr std::size_t kOwners = 3;

/// How a limit and its tolerance are divided between the owners and the daemons
/// that reach no owner. In any window, both together run no more requests than
/// the tolerance allows.
///
/// Daemons without an owner get half of the overage and a quarter of the slack.
/// The owners get the rest, as a token bucket that holds the burst and one
/// request for each owner. Its rate is the one at which a customer uses up its
/// limit in each window, and in the first window of an owner all that is left.
class RateParts {
 public:
  RateParts(const RateLimit& limit, const RateTolerance& tolerance) noexcept {
    const double window = to_seconds(tolerance.window);
    const double requests = limit.per_second * window + limit.burst;
    const double reserve =
        tolerance.overage * requests / 2 + tolerance.slack / 4;
    const double owned =
        requests * (1 + tolerance.overage / 2) + tolerance.slack * 3 / 4;
    this->owners.capacity =
        std::min(owned, limit.burst + static_cast<double>(kOwners));
    this->owners.starting_per_second = (owned - this->owners.capacity) / window;
    this->owners.per_second =
        std::min(this->owners.starting_per_second,
                 requests / window * (1 + tolerance.overage / 2));
    this->owners.start = tolerance.window;
    this->share = reserve / (this->owners.starting_per_second * window * 3 +
                             this->owners.capacity);
  }

  /// The bucket of one owner.
  [[nodiscard]] TokenBucket::Size owner_bucket() const noexcept {
    TokenBucket::Size bucket = this->owners;
    bucket.per_second /= kOwners;
    bucket.starting_per_second /= kOwners;
    bucket.capacity /= kOwners;
    return bucket;
  }

  /// Requests that may be sent without an owner's grant for each one with a
  /// grant. Grants count for up to three windows.
  [[nodiscard]] double ungranted_share() const noexcept {
    return std::min(1.0, this->share);
  }

 private:
  TokenBucket::Size owners;  ///< All of them together.
  double share = 0;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_RATE_PARTS_H_
