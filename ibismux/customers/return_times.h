#ifndef IBISMUX_CUSTOMERS_RETURN_TIMES_H_
#define IBISMUX_CUSTOMERS_RETURN_TIMES_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "ibismux/base/time.h"

namespace ibismux::customers {

/// When the refused callers of one customer may come back.
///
/// Answers the load of a customer that sends several times its limit for
/// seconds: callers that come back within this time find the customer's new
/// requests before them, and are refused again. For how long the load will go
/// on isn't known; on average it goes on for as long as it has lasted.
///
/// Uses no sockets and reads no clock; not thread safe. The times passed in
/// must not decrease.
class ReturnTimes {
 public:
  static constexpr std::chrono::seconds kMax{30};
  /// A pause of this length between two refusals ends the load.
  static constexpr std::chrono::seconds kCalm{1};

  /// Records a refusal of a request that could have been in time.
  /// @param is_near_limit The customer asks for little more than its limit. The
  /// load then counts as a short one, however long it has lasted.
  void on_refusal(bool is_near_limit, TimePoint now) noexcept;

  /// What a caller is told that is refused now.
  /// @param next_token Until the next token that nobody was promised.
  [[nodiscard]] Duration retry_after(Duration next_token, TimePoint now);

 private:
  std::optional<TimePoint> since;  ///< Since when the load has lasted.
  TimePoint last_refusal = TimePoint::min();
  std::uint64_t callers = 0;  ///< Told a time; spreads them.
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_RETURN_TIMES_H_
