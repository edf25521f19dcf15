#ifndef IBISMUX_DAEMON_FORWARD_H_
#define IBISMUX_DAEMON_FORWARD_H_

namespace ibismux::daemon {

struct Ports;
class Daemon;

}  // namespace ibismux::daemon

#endif  // IBISMUX_DAEMON_FORWARD_H_
