#ifndef IBISMUX_RESERVATION_CLAIM_ID_H_
#define IBISMUX_RESERVATION_CLAIM_ID_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace ibismux::reservation {

/// Random name of one claim of one key; never used twice.
struct ClaimId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  [[nodiscard]] auto operator<=>(const ClaimId&) const noexcept = default;
};

}  // namespace ibismux::reservation

template <>
struct std::hash<ibismux::reservation::ClaimId> {
  std::size_t operator()(
      const ibismux::reservation::ClaimId& id) const noexcept {
    return id.high ^ id.low;
  }
};

#endif  // IBISMUX_RESERVATION_CLAIM_ID_H_
