#ifndef IBISMUX_OPERATOR_FORWARD_H_
#define IBISMUX_OPERATOR_FORWARD_H_

namespace ibismux::operators {

struct InForce;
struct OperatorPorts;
struct StatusSection;
class ObjectWriter;
class OperatorApi;

}  // namespace ibismux::operators

#endif  // IBISMUX_OPERATOR_FORWARD_H_
