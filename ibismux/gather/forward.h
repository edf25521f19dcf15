#ifndef IBISMUX_GATHER_FORWARD_H_
#define IBISMUX_GATHER_FORWARD_H_

namespace ibismux::gather {

struct GatherAnswer;
struct GatherOffer;
struct GatherQuery;
struct GatherRoles;
class GatherClient;
class GatherHost;
class GatherRoom;
class GathererSelector;
class OverflowAsks;

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_FORWARD_H_
