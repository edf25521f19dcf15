#ifndef IBISMUX_FAIRNESS_FORWARD_H_
#define IBISMUX_FAIRNESS_FORWARD_H_

namespace ibismux::fairness {

class FairOrder;
struct Share;

}  // namespace ibismux::fairness

#endif  // IBISMUX_FAIRNESS_FORWARD_H_
