// Stands before connect() in the program "ibismuxd-cut", by the linker's
// --wrap: what goes to a peer (127.0.3.0/24) goes to the forwarder of PeerCut
// instead, at 127.DAEMON.HIGH.LOW for the port of that daemon, and comes from
// this daemon's own address. A daemon announces the address at which it
// listens, so nothing else can come between two of them.

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <cstring>

// The linker gives these two names.
extern "C" int __real_connect(int socket, const sockaddr* to, socklen_t size);

extern "C" int __wrap_connect(int socket, const sockaddr* to, socklen_t size) {
  constexpr in_addr_t kPeers = 0x7F000300;
  sockaddr_in target{};
  std::memcpy(&target, to, size < sizeof target ? size : sizeof target);
  const in_addr_t peer = ntohl(target.sin_addr.s_addr);
  const char* port = std::getenv("IBISMUX_CUT_PORT");
  const char* daemon = std::getenv("IBISMUX_CUT_DAEMON");
  if (target.sin_family != AF_INET || (peer & 0xFFFFFF00) != kPeers ||
      port == nullptr || daemon == nullptr) {
    return __real_connect(socket, to, size);
  }
  sockaddr_in own{};
  own.sin_family = AF_INET;
  own.sin_addr.s_addr = htonl(kPeers + 1 + std::atoi(daemon));
  ::bind(socket, reinterpret_cast<const sockaddr*>(&own), sizeof own);
  const in_addr_t number = peer - kPeers - 1;
  target.sin_addr.s_addr =
      htonl(0x7F000000 + (number << 16) + ntohs(target.sin_port));
  target.sin_port = htons(static_cast<in_port_t>(std::atoi(port)));
  return __real_connect(socket, reinterpret_cast<const sockaddr*>(&target),
                        sizeof target);
}
