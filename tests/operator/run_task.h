#ifndef IBISMUX_TESTS_OPERATOR_RUN_TASK_H_
#define IBISMUX_TESTS_OPERATOR_RUN_TASK_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

#include "ibismux/base/task.h"

namespace ibismux::operators::testing {

template <class T>
Task<void> store_result(Task<T> task, std::optional<T>* result) {
  result->emplace(co_await std::move(task));
}

/// Runs `task` to its end on an event loop of its own.
template <class T>
T run(Task<T> task) {
  boost::asio::io_context loop;
  std::optional<T> result;
  boost::asio::co_spawn(loop, store_result(std::move(task), &result),
                        boost::asio::detached);
  loop.run();
  return std::move(*result);
}

}  // namespace ibismux::operators::testing

#endif  // IBISMUX_TESTS_OPERATOR_RUN_TASK_H_
