#ifndef IBISMUX_ADMISSION_WORK_H_
#define IBISMUX_ADMISSION_WORK_H_

#include <cstddef>

namespace ibismux::admission {

/// What a request asks for. Each has its own usual latency: a look-up of a key
/// beside a query over many leafs would make every query seem slow.
enum class Work : unsigned char { kQuery, kReservation, kKeyLookup };

inline constexpr std::size_t kWorks = 3;

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_WORK_H_
