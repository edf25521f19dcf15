#ifndef APPS_IBISMUX_LOAD_BALANCER_H_
#define APPS_IBISMUX_LOAD_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/http/client_connection.h"
#include "ibismux/http/message.h"

namespace ibismux::load {

/// Where a daemon takes callers' requests, and where it says if it is ready.
struct DaemonAddress {
  std::string address;
  std::uint16_t port = 0;
  std::uint16_t ready_port = 0;  ///< 0: never asked.
};

/// Stands in for the platform's balancer: daemons in turn or at random, those
/// that say they are not ready left out.
///
/// Belongs to one event loop; not thread safe.
class Balancer {
 public:
  Balancer(std::vector<DaemonAddress> addresses,
           bool random_order,
           std::uint64_t seed);

  /// Sends to the next daemon. A connection that turns out closed is replaced,
  /// and the next daemon tried, only where no byte was handed to a socket.
  [[nodiscard]] Task<Result<http::Response>> send(http::Request request,
                                                  TimePoint deadline);

  /// Sends to daemon `index`.
  [[nodiscard]] Task<Result<http::Response>> send_to(
      std::size_t index,
      std::shared_ptr<const http::Request> request,
      TimePoint deadline);

  [[nodiscard]] std::size_t size() const noexcept {
    return this->daemons.size();
  }

  /// Asks each daemon in turn whether it is ready, until `end`.
  [[nodiscard]] Task<> watch_readiness(TimePoint end);

 private:
  struct Daemon {
    DaemonAddress address;
    bool ready = true;
    std::vector<std::unique_ptr<http::ClientConnection>> idle;
  };

  [[nodiscard]] std::size_t pick();
  [[nodiscard]] std::unique_ptr<http::ClientConnection> take_idle(
      Daemon& daemon);
  [[nodiscard]] Task<> check(Daemon& daemon);

  std::vector<Daemon> daemons;
  bool random_order;
  pcg64 random;
  std::size_t turn = 0;
};

}  // namespace ibismux::load

#endif  // APPS_IBISMUX_LOAD_BALANCER_H_
