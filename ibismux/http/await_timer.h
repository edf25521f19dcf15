#ifndef IBISMUX_HTTP_AWAIT_TIMER_H_
#define IBISMUX_HTTP_AWAIT_TIMER_H_

#include <boost/system/error_code.hpp>
#include <memory>
#include <utility>

namespace ibismux::http {

/// Calls `action` of `target` when `timer` expires; not where the wait is
/// cancelled, or nobody owns the target any more.
///
///     this->timer.expires_after(kTick);
///     http::await_timer(this->timer, this->weak_from_this(), &Relay::tick);
///
/// To be called on the timer's event loop.
/// @tparam AnyTimer A timer of Asio, whatever its executor.
template <class AnyTimer, class T>
void await_timer(AnyTimer& timer,
                 std::weak_ptr<T> target,
                 void (T::*action)()) {
  timer.async_wait([target = std::move(target),
                    action](const boost::system::error_code& error) {
    const auto self = target.lock();
    if (!error && self) {
      (self.get()->*action)();
    }
  });
}

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_AWAIT_TIMER_H_
