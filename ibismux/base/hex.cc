#include "ibismux/base/hex.h"

#include <array>
#include <cstdio>

namespace ibismux {

std::string hex_digits(std::uint64_t high, std::uint64_t low) {
  std::array<char, 33> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return digits.data();
}

}  // namespace ibismux
