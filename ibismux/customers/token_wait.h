#ifndef IBISMUX_CUSTOMERS_TOKEN_WAIT_H_
#define IBISMUX_CUSTOMERS_TOKEN_WAIT_H_

#include <cstddef>
#include <optional>

#include "ibismux/base/time.h"
#include "ibismux/base/waiting_room.h"
#include "ibismux/customers/forward.h"

namespace ibismux::customers {

/// Decides whether a request that the owners of its customer's limit refuse now
/// waits for the token that they promise, and asks again then.
///
/// Answers the load of a customer whose requests come in bursts at about its
/// limit, and of all customers just after a loss of the owners of their limits:
/// a token is free some ten milliseconds later, in time for the request.
///
/// Uses no sockets and reads no clock; not thread safe. The times passed in
/// must not decrease.
class TokenWait {
 public:
  /// How often one request waits.
  static constexpr int kMaxWaits = 2;

  explicit TokenWait(WaitingRoom::Limits limits) noexcept : room(limits) {}

  /// The latest time of a token for which the request may wait; the start of
  /// the clock for one that is late in any case. Thread safe.
  [[nodiscard]] static TimePoint latest_token(const RateCheck& check) noexcept;

  /// Decides about a request that was refused until `next_fit`. If it waits, it
  /// takes a place, which `release()` frees.
  /// @param waits How often it has waited before.
  /// @return When it may ask again; nothing if it is refused now: its answer
  /// would be late, or there is no room.
  [[nodiscard]] std::optional<TimePoint> decide(const RateCheck& check,
                                                TimePoint next_fit,
                                                int waits,
                                                TimePoint now);

  /// A request waits no longer. Precondition: `decide()` has let it wait.
  void release(std::size_t bytes) noexcept { this->room.leave(bytes); }

 private:
  WaitingRoom room;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_TOKEN_WAIT_H_
