#include "ibismux/http/silence_limit.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <cstdint>

namespace ibismux::http {

void limit_silence(TcpSocket& socket, std::chrono::seconds limit) {
  namespace asio = boost::asio;
  using asio::detail::socket_option::integer;
  using FirstProbe = integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using NextProbe = integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Probes = integer<IPPROTO_TCP, TCP_KEEPCNT>;
  using UserTimeout = integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  // One probe a second, the first after one second of silence.
  const auto probes =
      static_cast<int>(std::max<std::int64_t>(1, limit.count() - 1));
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(FirstProbe(1), ignored);
  socket.set_option(NextProbe(1), ignored);
  socket.set_option(Probes(probes), ignored);
  socket.set_option(UserTimeout(static_cast<int>(limit.count() * 1000)),
                    ignored);
}

}  // namespace ibismux::http
