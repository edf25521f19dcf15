#ifndef IBISMUX_CUSTOMERS_TOKEN_WAITERS_H_
#define IBISMUX_CUSTOMERS_TOKEN_WAITERS_H_

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <boost/asio/steady_timer.hpp>
#include <list>

#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/customers/forward.h"
#include "ibismux/customers/token_wait.h"

namespace ibismux::customers {

/// Requests that wait for the token that an owner has promised, as `TokenWait`
/// decides.
///
/// Belongs to one event loop; not thread safe. Outlives the requests.
class TokenWaiters {
 public:
  /// @param registry Outlives this object.
  explicit TokenWaiters(prometheus::Registry& registry);

  /// Waits for a token on the event loop of the caller.
  /// @param check Outlives the task.
  /// @param next_fit, waits See `TokenWait::decide()`.
  /// @return Whether the request has waited and may ask again.
  [[nodiscard]] Task<bool> wait(const RateCheck& check,
                                TimePoint next_fit,
                                int waits);

  /// Ends all waits, because the daemon stops; no request waits from now on.
  void close();

  /// Counts a request that was decided after `waits` waits, if it has waited.
  void count(int waits, bool is_granted);

 private:
  TokenWait decisions{WaitingRoom::Limits{}};
  bool closed = false;
  std::list<boost::asio::steady_timer*> timers;  ///< Of the waits.
  prometheus::Counter& granted;
  prometheus::Counter& refused;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_TOKEN_WAITERS_H_
