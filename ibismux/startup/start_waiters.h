#ifndef IBISMUX_STARTUP_START_WAITERS_H_
#define IBISMUX_STARTUP_START_WAITERS_H_

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>

#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/http/socket.h"
#include "ibismux/startup/need.h"
#include "ibismux/startup/start_gate.h"

namespace ibismux::startup {

/// Requests that wait for what a daemon lacks after its start, as `StartGate`
/// decides.
///
/// Belongs to one event loop; not thread safe.
class StartWaiters {
 public:
  struct Result {
    bool is_met = false;
    std::chrono::milliseconds retry_after{0};  ///< If it isn't.
  };

  /// @param started When the process has started. `loop` and `registry` outlive
  /// this object.
  StartWaiters(boost::asio::io_context& loop,
               StartGate::Settings settings,
               TimePoint started,
               prometheus::Registry& registry);

  /// Waits until `is_met` holds, if the gate lets the request wait, and no
  /// longer than the gate allows.
  /// @param latest_start, bytes See `StartGate::decide()`.
  /// @param is_met Checked now and at each `notify()`.
  [[nodiscard]] Task<Result> wait(Need need,
                                  TimePoint latest_start,
                                  std::size_t bytes,
                                  std::function<bool()> is_met);

  /// Something that requests wait for may be met now.
  void notify();

  /// Ends all waits, because the daemon stops; no request waits from now on.
  void close();

 private:
  struct Counters {
    prometheus::Counter* held;
    prometheus::Counter* refused;
  };

  boost::asio::io_context& loop;
  StartGate gate;
  bool closed = false;
  std::list<http::Timer*> timers;         ///< One for each request that waits.
  std::array<Counters, kNeeds> counters;  ///< By `Need`.
};

}  // namespace ibismux::startup

#endif  // IBISMUX_STARTUP_START_WAITERS_H_
