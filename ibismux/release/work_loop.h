#ifndef IBISMUX_RELEASE_WORK_LOOP_H_
#define IBISMUX_RELEASE_WORK_LOOP_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <type_traits>
#include <utility>

#include "ibismux/base/task.h"

namespace ibismux::release {

/// A loop that serves no requests, for work on whole releases: at a large site
/// it takes 0.1 s and more, by which it would delay every call of a loop that
/// serves. Null: the work is done where it is asked for.
///
/// Its thread ends before anything that uses it is destroyed; the loop itself
/// is destroyed before the loops of those who use it, whose tasks it may hold.
using WorkLoop = boost::asio::io_context*;

/// @cond internal
template <class Work>
Task<std::invoke_result_t<Work>> run_here(Work work) {
  co_return work();
}
/// @endcond

/// Does `work` on `loop`, and goes on where it was asked for. What `work`
/// refers to outlives the task. Thread safe.
template <class Work>
Task<std::invoke_result_t<Work>> run_on(WorkLoop loop, Work work) {
  if (loop == nullptr) {
    co_return work();
  }
  auto task = run_here(std::move(work));
  co_return co_await boost::asio::co_spawn(*loop, std::move(task),
                                           boost::asio::use_awaitable);
}

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_WORK_LOOP_H_
