#ifndef IBISMUX_HTTP_CLIENT_OPTIONS_H_
#define IBISMUX_HTTP_CLIENT_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>

#include "ibismux/http/forward.h"

namespace ibismux::http {

/// How a `ClientConnection` treats its server.
struct ClientOptions {
  /// A response body longer than this is a protocol error.
  std::size_t max_body = 16 * 1024 * 1024;

  /// Takes a response without a length as complete when the server closes the
  /// connection. Off, such a response is a protocol error: its end can't be
  /// told from a server that crashed. A reset never counts as an end.
  bool body_may_end_by_close = false;

  /// How long a peer may acknowledge nothing, while idle or while data is on
  /// the way, before the connection counts as lost; absent: the system's own
  /// limits, a quarter of an hour and more. A host that lost power or sits
  /// behind a partition resets nothing: without this a watch on such a
  /// connection waits for its whole time and brings no change.
  std::optional<std::chrono::seconds> silence_limit;

  /// Bounds what the responses of many connections take together; null: no
  /// such bound. Belongs to the event loop of the connection.
  std::shared_ptr<ResponseMemory> response_memory;
};

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_CLIENT_OPTIONS_H_
