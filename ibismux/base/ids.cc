#include "ibismux/base/ids.h"

#include "ibismux/base/hex.h"

namespace ibismux {

std::string to_string(const CallId& id) {
  return hex_digits(id.origin, id.sequence);
}

}  // namespace ibismux
