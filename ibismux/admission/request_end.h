#ifndef IBISMUX_ADMISSION_REQUEST_END_H_
#define IBISMUX_ADMISSION_REQUEST_END_H_

#include <optional>

#include "ibismux/base/error.h"
#include "ibismux/base/leaf_wait.h"

namespace ibismux::admission {

/// How an admitted request ended: what admission learns from.
struct RequestEnd {
  /// The error, if it failed.
  std::optional<ErrorKind> error;
  /// What its calls to leafs showed; of none where it made none, as a repeat
  /// that is answered from its record. That says nothing about the load.
  LeafWait leaf_wait;
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_REQUEST_END_H_
