#ifndef IBISMUX_ADMISSION_REQUEST_END_H_
#define IBISMUX_ADMISSION_REQUEST_END_H_

#include <optional>

#include "ibismux/base/error.h"
#include "ibismux/base/leaf_wait.h"

namespace ibismux::admission {

/// How an admitted request ended; input to the adaptive limit.
struct RequestEnd {
  /// The error, if it failed.
  std::optional<ErrorKind> error;
  /// Waiting times of its calls to leafs. Empty if it made none, as a repeated
  /// request that is answered from its record; such a request tells nothing
  /// about the load.
  LeafWait leaf_wait;
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_REQUEST_END_H_
