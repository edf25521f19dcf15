#ifndef TESTS_SUPPORT_RUN_TASK_H_
#define TESTS_SUPPORT_RUN_TASK_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <optional>
#include <utility>

#include "ibismux/base/task.h"

namespace ibismux::testing {

/// Runs `task` to its end on `loop`, and whatever else is on it.
template <class T>
T run_task(boost::asio::io_context& loop, Task<T> task) {
  std::optional<T> result;
  boost::asio::co_spawn(loop, std::move(task),
                        [&](std::exception_ptr failure, T value) {
                          if (failure) {
                            std::rethrow_exception(failure);
                          }
                          result.emplace(std::move(value));
                        });
  loop.restart();
  loop.run();
  return std::move(result.value());
}

/// The same on a loop of its own.
template <class T>
T run_task(Task<T> task) {
  boost::asio::io_context loop;
  return run_task(loop, std::move(task));
}

}  // namespace ibismux::testing

#endif  // TESTS_SUPPORT_RUN_TASK_H_
