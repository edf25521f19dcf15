#ifndef IBISMUX_RESERVATION_TICKET_H_
#define IBISMUX_RESERVATION_TICKET_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "ibismux/base/ids.h"

namespace ibismux::reservation {

/// A key that names the one run of a daemon that may execute it.
struct Ticket {
  Incarnation issuer;
  std::chrono::milliseconds issued{};  ///< Since the issuer's clock's epoch.
  std::uint64_t serial = 0;            ///< Random.

  [[nodiscard]] bool operator==(const Ticket&) const = default;
};

/// Keys of callers that begin with this are read as tickets.
inline constexpr std::string_view kTicketPrefix = "ticket-";

/// `ticket-ISSUER-ISSUED-SERIAL-MEMBER`. Thread safe.
[[nodiscard]] std::string to_string(const Ticket& ticket);

/// The ticket that `key` is, or nothing. Thread safe.
[[nodiscard]] std::optional<Ticket> parse_ticket(std::string_view key);

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_TICKET_H_
