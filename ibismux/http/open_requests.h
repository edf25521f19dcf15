#ifndef IBISMUX_HTTP_OPEN_REQUESTS_H_
#define IBISMUX_HTTP_OPEN_REQUESTS_H_

#include <cstddef>

namespace ibismux::http {

/// The requests of a server that are not answered yet, by what they wait for.
struct OpenRequests {
  std::size_t reading = 0;   ///< For the rest of the request.
  std::size_t handling = 0;  ///< For the handler.
  std::size_t writing = 0;   ///< For the client to take the answer.
};

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_OPEN_REQUESTS_H_
