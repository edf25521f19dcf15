#ifndef IBISMUX_HTTP_SERVER_CORE_H_
#define IBISMUX_HTTP_SERVER_CORE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_set>
#include <utility>

#include "ibismux/base/rcu_cell.h"
#include "ibismux/http/server.h"

namespace ibismux::http {

class ServerConnection;

/// What all connections of a server share. Thread safe.
struct ServerCore {
  explicit ServerCore(ServerLimits limits)
      : limits(std::make_shared<const ServerLimits>(limits)) {}

  RcuCell<ServerLimits> limits;
  Server::Handler handler;
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> in_flight{0};
  /// @name Connections by what their requests wait for
  /// @{
  std::atomic<std::size_t> reading{0};
  std::atomic<std::size_t> handling{0};
  std::atomic<std::size_t> writing{0};
  /// @}
  std::atomic<bool> draining{false};
  /// Until when requests are awaited on idle connections. Set before
  /// `draining`.
  std::atomic<TimePoint> drain_end{TimePoint::max()};
  /// Handlers are to answer at once; see `Server::cancel_requests()`.
  std::atomic<bool> cancelling{false};
  std::atomic<bool> stopped{false};
};

/// Counts one thing in a counter of a server while it lives. Thread safe.
class Counted {
 public:
  using Counter = std::atomic<std::size_t> ServerCore::*;

  /// Keeps `core` alive: what counts may wait in an event loop that outlives
  /// the server.
  Counted(std::shared_ptr<ServerCore> core, Counter counter)
      : core(std::move(core)), counter(counter) {
    ((*this->core).*counter).fetch_add(1, std::memory_order_relaxed);
  }
  Counted(Counted&&) noexcept = default;
  Counted& operator=(Counted&&) = delete;
  ~Counted() {
    if (this->core) {
      ((*this->core).*this->counter).fetch_sub(1, std::memory_order_release);
    }
  }

 private:
  std::shared_ptr<ServerCore> core;
  Counter counter;
};

/// The connections that live on one event loop; touched by its thread alone.
struct ServerLoop {
  boost::asio::io_context& context;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections;
};

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_SERVER_CORE_H_
