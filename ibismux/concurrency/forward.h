#ifndef IBISMUX_CONCURRENCY_FORWARD_H_
#define IBISMUX_CONCURRENCY_FORWARD_H_

namespace ibismux::concurrency {

class AimdLimit;
class ConcurrencyLimit;

}  // namespace ibismux::concurrency

#endif  // IBISMUX_CONCURRENCY_FORWARD_H_
