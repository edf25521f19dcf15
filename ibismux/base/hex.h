#ifndef IBISMUX_BASE_HEX_H_
#define IBISMUX_BASE_HEX_H_

#include <cstdint>
#include <string>

namespace ibismux {

/// 128 bits as 32 hexadecimal digits. Thread safe.
[[nodiscard]] std::string hex_digits(std::uint64_t high, std::uint64_t low);

}  // namespace ibismux

#endif  // IBISMUX_BASE_HEX_H_
