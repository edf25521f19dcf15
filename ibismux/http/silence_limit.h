#ifndef IBISMUX_HTTP_SILENCE_LIMIT_H_
#define IBISMUX_HTTP_SILENCE_LIMIT_H_

#include <chrono>

#include "ibismux/http/socket.h"

namespace ibismux::http {

/// Lets the system close `socket` once its peer has acknowledged nothing for
/// `limit`, while idle or while data is on the way. Precondition: connected.
/// Not thread safe.
void limit_silence(TcpSocket& socket, std::chrono::seconds limit);

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_SILENCE_LIMIT_H_
