#ifndef IBISMUX_CUSTOMERS_RATE_OWNER_H_
#define IBISMUX_CUSTOMERS_RATE_OWNER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/customers/customer_usage.h"
#include "ibismux/customers/demand_window.h"
#include "ibismux/customers/rate_limit.h"
#include "ibismux/customers/return_times.h"
#include "ibismux/customers/token_bucket.h"

namespace ibismux::customers {

/// This daemon's parts of the limits that it owns.
///
/// The bucket of a part is empty when this daemon begins to own it, since the
/// previous owner, or this daemon before a restart, may just have granted all
/// that the window allows.
///
/// Uses no sockets and reads no clock; not thread safe. The times passed in
/// must not decrease.
class RateOwner {
 public:
  struct Decision {
    bool granted = false;
    Duration retry_after{0};  ///< If refused.
    double usage = 0;         ///< See `RateGrant`.
  };

  /// @param paces_returns Whether refused callers of a customer that has been
  /// beyond its limit for long are told a later time; see `ReturnTimes`.
  explicit RateOwner(RateTolerance tolerance, bool paces_returns = false)
      : tolerance(tolerance), paces_returns(paces_returns) {}

  /// Grants one request of `customer` if its bucket allows it. The limit of the
  /// newest configuration that was passed in for the customer applies.
  ///
  /// A request whose answer is late in any case is granted only if none that
  /// can be in time was refused lately. This answers the load of a customer
  /// that sends several times its limit, whose refused callers come back and
  /// compete with new ones for each token.
  /// @param is_late See `RateCheck`.
  /// @param owned_since Since when this daemon has owned its part of the limit.
  /// Only read for a customer that is new here.
  [[nodiscard]] Decision take(const std::string& customer,
                              const RateLimit& limit,
                              std::uint64_t configuration,
                              bool is_late,
                              TimePoint owned_since,
                              TimePoint now);

  [[nodiscard]] bool knows(const std::string& customer) const {
    return this->buckets.contains(customer);
  }

  /// What this daemon was asked for since it was last read, of the `most`
  /// customers that were refused most, then those that asked most. The others
  /// are read later; those that asked for nothing are left out.
  [[nodiscard]] std::vector<CustomerUsage> take_usage(std::size_t most);

  /// Removes the limits for which `is_owner` is false. If this daemon owns one
  /// of them again later, another owner may have granted requests meanwhile.
  void retain(const std::function<bool(const std::string& customer)>& is_owner);

 private:
  struct Row {
    std::uint64_t configuration;
    RateLimit limit;
    TokenBucket bucket;
    DemandWindow demand;
    CustomerUsage usage;  ///< Since it was last taken.
    /// Until when late requests leave the tokens to others.
    std::optional<TimePoint> contended_until;
    ReturnTimes returns;
  };

  /// A request that finds no token.
  [[nodiscard]] Decision refuse(Row& row, bool is_late, TimePoint now) const;

  /// See `RateGrant::usage`.
  [[nodiscard]] double usage_of(const Row& row, TimePoint now) const;

  [[nodiscard]] Row& row(const std::string& customer,
                         const RateLimit& limit,
                         std::uint64_t configuration,
                         TimePoint owned_since,
                         TimePoint now);
  void remove_full(TimePoint now);

  const RateTolerance tolerance;
  const bool paces_returns;
  std::map<std::string, Row> buckets;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_RATE_OWNER_H_
