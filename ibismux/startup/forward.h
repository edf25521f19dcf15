#ifndef IBISMUX_STARTUP_FORWARD_H_
#define IBISMUX_STARTUP_FORWARD_H_

namespace ibismux::startup {

class StartGate;
class StartWaiters;

}  // namespace ibismux::startup

#endif  // IBISMUX_STARTUP_FORWARD_H_
