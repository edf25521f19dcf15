#ifndef IBISMUX_GATEWAY_FORWARD_H_
#define IBISMUX_GATEWAY_FORWARD_H_

namespace ibismux::gateway {

struct LeafAnswer;
struct LeafCallBatch;
struct OwnershipTable;
class LeafCaller;
class LocalGateway;
class Router;

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_FORWARD_H_
