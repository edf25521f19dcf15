#ifndef IBISMUX_GATEWAY_FORWARD_H_
#define IBISMUX_GATEWAY_FORWARD_H_

namespace ibismux::gateway {

struct GatewaySettings;
struct LeafAnswer;
struct LeafCallBatch;
struct LeafOwner;
struct LeafStatus;
struct OwnershipTable;
class LeafCaller;
class LocalGateway;
class OwnershipStrategy;
class RemoteGateway;
class Router;

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_FORWARD_H_
