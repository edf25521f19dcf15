#include "ibismux/reservation/ticket.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace ibismux::reservation {

namespace {

constexpr std::size_t kDigits = 16;

/// Takes 16 hexadecimal digits and a dash off the front of `text`.
std::optional<std::uint64_t> take_number(std::string_view& text) {
  if (text.size() <= kDigits || text[kDigits] != '-') {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const char* end = text.data() + kDigits;
  const auto [stop, error] = std::from_chars(text.data(), end, value, 16);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  text.remove_prefix(kDigits + 1);
  return value;
}

}  // namespace

std::string to_string(const Ticket& ticket) {
  std::array<char, 3 * (kDigits + 1) + 1> numbers{};
  std::snprintf(numbers.data(), numbers.size(), "%016lx-%016lx-%016lx-",
                static_cast<unsigned long>(ticket.issuer.number),
                static_cast<unsigned long>(ticket.issued.count()),
                static_cast<unsigned long>(ticket.serial));
  return std::string(kTicketPrefix) + numbers.data() + ticket.issuer.member;
}

std::optional<Ticket> parse_ticket(std::string_view key) {
  if (!key.starts_with(kTicketPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kTicketPrefix.size());
  const auto issuer = take_number(key);
  const auto issued = issuer ? take_number(key) : std::nullopt;
  const auto serial = issued ? take_number(key) : std::nullopt;
  if (!serial || key.empty()) {
    return std::nullopt;
  }
  return Ticket{{std::string(key), *issuer},
                std::chrono::milliseconds(static_cast<std::int64_t>(*issued)),
                *serial};
}

}  // namespace ibismux::reservation
