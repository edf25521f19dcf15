#include "ibismux/settings/field.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <charconv>

namespace ibismux::settings {

namespace {

constexpr std::uint32_t kMostPort = 65535;
constexpr std::size_t kMostNameBytes = 64;

bool is_name(std::string_view text) {
  const auto allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMostNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

bool is_address(std::string_view text) {
  boost::system::error_code failure;
  boost::asio::ip::make_address(std::string(text), failure);
  return !failure;
}

/// Where peers are told to connect: no host answers to "any address".
bool is_host_address(std::string_view text) {
  boost::system::error_code failure;
  const auto address =
      boost::asio::ip::make_address(std::string(text), failure);
  return !failure && !address.is_unspecified();
}

bool is_ownership(std::string_view text) {
  return text == "gateway" || text == "direct";
}

/// "10.0.0.1:80": an IP number and a port that aren't left open.
bool is_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint32_t port = 0;
  const char* end = digits.data() + digits.size();
  const auto [last, error] = std::from_chars(digits.data(), end, port);
  return error == std::errc() && last == end && port <= kMostPort &&
         is_address(text.substr(0, colon));
}

bool is_endpoint_or_none(std::string_view text) {
  return text.empty() || is_endpoint(text);
}

/// What each form takes, in words, and the check.
struct FormEntry {
  std::string_view words;
  bool (*check)(std::string_view);
};

constexpr std::array<FormEntry, 6> kForms = {{
    {"1 to 64 letters, digits, '-', '_' or '.'", is_name},
    {"an IP number", is_address},
    {"an IP number of this host", is_host_address},
    {"\"gateway\" or \"direct\"", is_ownership},
    {"an IP number and a port, as in 10.0.0.1:80", is_endpoint},
    {"an IP number and a port, as in 10.0.0.1:80, or nothing",
     is_endpoint_or_none},
}};

const FormEntry& form_entry(TextForm form) noexcept {
  return kForms[static_cast<std::size_t>(form)];
}

}  // namespace

std::string_view words_of(TextForm form) noexcept {
  return form_entry(form).words;
}

bool has_form(TextForm form, std::string_view text) {
  return form_entry(form).check(text);
}

std::optional<std::int64_t> whole_number(const boost::json::value& value) {
  boost::system::error_code failure;
  // A double converts only where nothing is lost: not 1.5, and not 1e30.
  const auto number = value.to_number<std::int64_t>(failure);
  return failure ? std::nullopt : std::optional(number);
}

}  // namespace ibismux::settings
