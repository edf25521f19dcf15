#ifndef IBISMUX_ROUTING_FORWARD_H_
#define IBISMUX_ROUTING_FORWARD_H_

namespace ibismux::routing {

enum class Repeatability : unsigned char;
struct CallerLimits;
struct Route;
struct RouteTable;
struct ServiceSpec;
struct WeightedService;
class RouteIndex;
class WeightedRoundRobin;

}  // namespace ibismux::routing

#endif  // IBISMUX_ROUTING_FORWARD_H_
