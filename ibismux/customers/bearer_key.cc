#include "ibismux/customers/bearer_key.h"

#include <boost/beast/core/string.hpp>

namespace ibismux::customers {

namespace {

constexpr std::string_view kScheme = "Bearer";
constexpr std::string_view kBlanks = " \t";

std::string_view trimmed(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

}  // namespace

Result<std::string_view> bearer_key(std::span<const std::string> values) {
  if (values.empty()) {
    return fail(ErrorKind::kUnauthorized, "no key");
  }
  if (values.size() > 1) {
    return fail(ErrorKind::kUnauthorized, "more than one key");
  }
  const std::string_view credentials = trimmed(values.front());
  const std::string_view scheme =
      credentials.substr(0, credentials.find_first_of(kBlanks));
  if (!boost::beast::iequals(scheme, kScheme)) {
    return fail(ErrorKind::kUnauthorized, "another scheme than Bearer");
  }
  const std::string_view key = trimmed(credentials.substr(scheme.size()));
  if (key.empty() || key.size() > kMaxKeyBytes ||
      key.find_first_of(kBlanks) != std::string_view::npos) {
    return fail(ErrorKind::kUnauthorized, "not a key");
  }
  return key;
}

}  // namespace ibismux::customers
