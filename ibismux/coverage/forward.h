#ifndef IBISMUX_COVERAGE_FORWARD_H_
#define IBISMUX_COVERAGE_FORWARD_H_

namespace ibismux::coverage {

class CoverageBudget;
struct PartUrgency;

}  // namespace ibismux::coverage

#endif  // IBISMUX_COVERAGE_FORWARD_H_
