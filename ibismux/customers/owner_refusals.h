#ifndef IBISMUX_CUSTOMERS_OWNER_REFUSALS_H_
#define IBISMUX_CUSTOMERS_OWNER_REFUSALS_H_

#include <map>
#include <optional>
#include <string>

#include "ibismux/base/time.h"

namespace ibismux::customers {

/// What the owners of one customer's limit have said that refused its requests.
///
/// Answers the load of a customer far beyond its limit: owners that have just
/// refused it are not asked for each of its requests.
///
/// Uses no sockets and reads no clock; not thread safe.
class OwnerRefusals {
 public:
  /// Records that `owner` has refused a request that could be in time.
  /// @param next_token When the owner has a token for it.
  void record(const std::string& owner, TimePoint next_token, TimePoint now);

  /// Whether `owner` need not be asked, as it has refused another request just
  /// before.
  /// @param latest_token The latest time of a token for which the request may
  /// wait. An owner that may have such a token is asked, so that it promises
  /// one more.
  /// @return When the owner has a token, as far as is known; nothing if it is
  /// to be asked.
  [[nodiscard]] std::optional<TimePoint> next_token(const std::string& owner,
                                                    TimePoint latest_token,
                                                    TimePoint now) const;

  /// When `owner` last refused. Precondition: `next_token()` has returned a
  /// time for it.
  [[nodiscard]] TimePoint refused_at(const std::string& owner) const {
    return this->by_owner.at(owner).at;
  }

 private:
  struct Refusal {
    TimePoint at;
    TimePoint next_token;
    TimePoint paused_until;  ///< Until when the owner is not asked.
  };

  std::map<std::string, Refusal> by_owner;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_OWNER_REFUSALS_H_
