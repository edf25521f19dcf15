#ifndef TESTS_SUPPORT_RUN_UNTIL_H_
#define TESTS_SUPPORT_RUN_UNTIL_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

#include "ibismux/base/time.h"

namespace ibismux::testing {

/// Runs `loop` until `reached()`, or for the generous `limit`.
/// @return Whether it was reached.
inline bool run_until(boost::asio::io_context& loop,
                      const std::function<bool()>& reached,
                      Duration limit = std::chrono::seconds(20)) {
  const TimePoint end = Clock::now() + limit;
  while (!reached() && Clock::now() < end) {
    loop.restart();
    loop.run_one_for(std::chrono::milliseconds(20));
  }
  return reached();
}

}  // namespace ibismux::testing

#endif  // TESTS_SUPPORT_RUN_UNTIL_H_
