#include "ibismux/customers/token_waiters.h"

#include <prometheus/family.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstddef>
#include <optional>

#include "ibismux/customers/rate_check.h"

namespace ibismux::customers {

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

using Timers = std::list<boost::asio::steady_timer*>;

/// Frees the place of a request, also if its coroutine ends with the loop.
class Place {
 public:
  Place(TokenWait& decisions,
        std::size_t bytes,
        Timers& timers,
        boost::asio::steady_timer& timer)
      : decisions(decisions),
        bytes(bytes),
        timers(timers),
        position(timers.insert(timers.end(), &timer)) {}
  Place(const Place&) = delete;
  Place& operator=(const Place&) = delete;
  ~Place() {
    this->decisions.release(this->bytes);
    this->timers.erase(this->position);
  }

 private:
  TokenWait& decisions;
  const std::size_t bytes;
  Timers& timers;
  const Timers::iterator position;
};

prometheus::Family<prometheus::Counter>& waits_family(
    prometheus::Registry& registry) {
  return prometheus::BuildCounter()
      .Name("ibismux_customer_rate_waits_total")
      .Help("Requests that waited for a token of their customer's limit.")
      .Register(registry);
}

}  // namespace

TokenWaiters::TokenWaiters(prometheus::Registry& registry)
    : granted(waits_family(registry).Add({{"result", "granted"}})),
      refused(waits_family(registry).Add({{"result", "refused"}})) {}

Task<bool> TokenWaiters::wait(const RateCheck& check,
                              TimePoint next_fit,
                              int waits) {
  const std::optional<TimePoint> ask_at =
      this->decisions.decide(check, next_fit, waits, Clock::now());
  if (!ask_at) {
    co_return false;
  }
  const auto executor = co_await boost::asio::this_coro::executor;
  boost::asio::steady_timer timer(executor, *ask_at);
  const Place place(this->decisions, check.bytes, this->timers, timer);
  if (!this->closed) {
    co_await timer.async_wait(kAwait);
  }
  co_return !this->closed;
}

void TokenWaiters::close() {
  this->closed = true;
  for (boost::asio::steady_timer* timer : this->timers) {
    timer->cancel();
  }
}

void TokenWaiters::count(int waits, bool is_granted) {
  if (waits > 0) {
    (is_granted ? this->granted : this->refused).Increment();
  }
}

}  // namespace ibismux::customers
