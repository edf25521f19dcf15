#ifndef IBISMUX_BASE_FORWARD_H_
#define IBISMUX_BASE_FORWARD_H_

namespace ibismux {

enum class ErrorKind : unsigned char;
struct Error;
class FractionBudget;
class IoPool;
template <class T>
class RcuCell;

}  // namespace ibismux

#endif  // IBISMUX_BASE_FORWARD_H_
