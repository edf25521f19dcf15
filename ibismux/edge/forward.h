#ifndef IBISMUX_EDGE_FORWARD_H_
#define IBISMUX_EDGE_FORWARD_H_

namespace ibismux::edge {

struct Adapters;
struct EdgeSettings;
class CallerProtocol;
class ConfigurationDecoder;
class EdgeDaemon;
class LeafEntryDecoder;
class StallDetector;

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_FORWARD_H_
