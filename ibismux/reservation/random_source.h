#ifndef IBISMUX_RESERVATION_RANDOM_SOURCE_H_
#define IBISMUX_RESERVATION_RANDOM_SOURCE_H_

#include <cstdint>

namespace ibismux::reservation {

/// A number that no other daemon, and no other call, is likely to get. Seeded
/// by the system. Thread safe.
[[nodiscard]] std::uint64_t random_number();

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_RANDOM_SOURCE_H_
