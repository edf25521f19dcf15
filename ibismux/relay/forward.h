#ifndef IBISMUX_RELAY_FORWARD_H_
#define IBISMUX_RELAY_FORWARD_H_

namespace ibismux::relay {

struct InForceCount;
struct RelaySettings;
class RelayEngine;
class RelayService;
class Tallies;

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_FORWARD_H_
