#ifndef IBISMUX_CALLER_FORWARD_H_
#define IBISMUX_CALLER_FORWARD_H_

namespace ibismux::caller {

struct CallerPorts;
struct Outcome;
class CallerApi;
class CallerMetrics;
class FieldReader;
class RequestIds;

}  // namespace ibismux::caller

#endif  // IBISMUX_CALLER_FORWARD_H_
