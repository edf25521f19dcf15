#ifndef IBISMUX_HTTP_CLIENT_POOL_H_
#define IBISMUX_HTTP_CLIENT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/http/client_options.h"
#include "ibismux/http/message.h"

namespace ibismux::http {

/// Keep-alive connections to one server, for plain request and response
/// traffic (platform, operators). Leafs have a pool of their own.
///
/// Belongs to the event loop it is used from; not thread safe.
class ClientPool {
 public:
  /// @param most_idle How many idle connections are kept.
  ClientPool(std::string address,
             std::uint16_t port,
             std::size_t most_idle = 4,
             ClientOptions options = {});
  ~ClientPool();

  /// One request over an idle or a new connection. Same errors as
  /// `ClientConnection`; nothing is retried.
  [[nodiscard]] Task<Result<Response>> send(Request request,
                                            TimePoint deadline);

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_CLIENT_POOL_H_
