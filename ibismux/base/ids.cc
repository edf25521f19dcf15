#include "ibismux/base/ids.h"

#include <array>
#include <cstdio>

namespace ibismux {

std::string to_string(const CallId& id) {
  std::array<char, 33> digits{};
  std::snprintf(digits.data(), digits.size(), "%016lx%016lx",
                static_cast<unsigned long>(id.origin),
                static_cast<unsigned long>(id.sequence));
  return std::string(digits.data(), 32);
}

}  // namespace ibismux
