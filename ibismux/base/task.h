#ifndef IBISMUX_BASE_TASK_H_
#define IBISMUX_BASE_TASK_H_

#include <boost/asio/awaitable.hpp>

namespace ibismux {

/// A coroutine that runs on the executor it was spawned on.
template <class T = void>
using Task = boost::asio::awaitable<T>;

}  // namespace ibismux

#endif  // IBISMUX_BASE_TASK_H_
