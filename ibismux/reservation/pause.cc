#include "ibismux/reservation/pause.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ibismux::reservation {

namespace asio = boost::asio;

Task<> pause_until(TimePoint time) {
  auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace ibismux::reservation
