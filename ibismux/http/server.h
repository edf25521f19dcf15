#ifndef IBISMUX_HTTP_SERVER_H_
#define IBISMUX_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/forward.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/http/cancel_token.h"
#include "ibismux/http/message.h"
#include "ibismux/http/open_requests.h"

namespace ibismux::http {

/// What a client may cost. A client that passes a limit gets one clear answer
/// (400, 408, 413, 431) where that is possible, and its connection is closed.
struct ServerLimits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 1024 * 1024;
  std::size_t connections = 4096;
  /// How long a connection may rest between requests.
  Duration idle_timeout = std::chrono::seconds(60);
  /// How long a request may take to arrive once its first byte is here, and an
  /// answer to be taken off. Bounds slow and half-closed clients.
  Duration transfer_timeout = std::chrono::seconds(10);
  /// Once the server drains: how long it still takes new connections, and waits
  /// for requests on idle ones. Requests may be on the way.
  Duration drain_grace = std::chrono::milliseconds(500);
  /// Whether a request may repeat an earlier one under a key. "Not run" in a
  /// refusal would be taken as said of the key, so that a stop says "unknown".
  bool keyed_requests = false;
};

/// How long a handler whose token was cancelled for a stop has for its answer.
inline constexpr Duration kCancelledHandlerTime =
    std::chrono::milliseconds(100);

/// An HTTP/1.1 keep-alive server over an `IoPool`.
///
/// Each connection lives on one event loop; its handler runs there.
class Server {
 public:
  using Handler = std::function<Task<Response>(std::shared_ptr<const Request>,
                                               std::shared_ptr<CancelToken>)>;

  /// @param pool Outlives the server.
  Server(IoPool& pool, ServerLimits limits, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Binds and accepts; port 0 takes one from the system.
  /// @return The port, or why it could not be bound.
  [[nodiscard]] Result<std::uint16_t> listen(const std::string& address,
                                             std::uint16_t port);

  /// Replaces the limits. Sizes hold for connections made from now on, times
  /// from each connection's next request on. Thread safe.
  void set_limits(ServerLimits limits);

  /// Gives each request that is here or still comes its answer with
  /// `Connection: close`; after the grace closes connections that are idle and
  /// accepts no more. Thread safe.
  void drain();

  /// Has every request answered now: cancels the tokens of handlers with
  /// `CancelReason::kStopping`, and answers 502 for those that don't answer
  /// within `kCancelledHandlerTime`. Requests that arrive later, or of which
  /// only a part is here, are refused as not run, or as unknown where
  /// `ServerLimits::keyed_requests` says so. Answers are still written.
  /// Precondition: `drain()` was called. Thread safe.
  void cancel_requests();

  /// Open connections. Thread safe.
  [[nodiscard]] std::size_t connections() const noexcept;

  /// Requests that arrive, are handled or are answered; after `drain()` also
  /// whatever is within its grace. Once it is 0 after `drain()`, `stop()` cuts
  /// nothing. Thread safe.
  [[nodiscard]] std::size_t in_flight() const noexcept;

  /// Returns the requests that `stop()` would cut now. Thread safe; the counts
  /// are not of one moment.
  [[nodiscard]] OpenRequests open_requests() const noexcept;

  /// Closes everything at once. Thread safe.
  void stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_SERVER_H_
